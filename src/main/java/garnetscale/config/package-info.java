/**
 * Reads a controller's settings file and features file, and reports each problem with its key. The keys are defined in PROTOCOL
 * and docs/operations.md; they appear in no other package.
 */
package garnetscale.config;
