/**
 * Reads a controller's settings file and features file, and reports each problem with its key. The keys are defined in PROTOCOL
 * and docs/operations.md. In a serving controller they appear in no other package; {@code cli.LoopbackDemo} writes settings files
 * for its controllers and uses the keys too.
 */
package garnetscale.config;
