/**
 * Records of the leader, the live controllers and the owners of partitions in the stored state, and the encoding of their terms
 * and of the fencing tokens of workers. Contains only immutable values and pure functions: this package owns no state, and
 * depends on no other package of the core except its configuration and {@code core.upgrade}.
 */
package garnetscale.core.cluster;
