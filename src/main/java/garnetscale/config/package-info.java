/**
 * Reads the settings file of a controller and the features file, and names each fault with its key. The keys are those of
 * PROTOCOL and docs/operations.md; they appear in no other package.
 */
package garnetscale.config;
