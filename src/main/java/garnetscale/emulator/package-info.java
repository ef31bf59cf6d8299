/**
 * The outside world by its published protocols: a state service, a cloud and workers, in memory. For tests, for
 * trying the service out, and for the rehearsal by which the build records its class archive.
 */
package garnetscale.emulator;
