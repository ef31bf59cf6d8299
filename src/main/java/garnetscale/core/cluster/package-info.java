/**
 * Who leads, who is a member and who owns which partition, as records of the stored state, and how their terms and the fencing
 * tokens of workers nest. Immutable values and pure functions: this package owns no state, and depends on no other package of the
 * core but its configuration and {@code core.upgrade}.
 */
package garnetscale.core.cluster;
