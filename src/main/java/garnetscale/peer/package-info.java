/**
 * The messages that controllers send each other and that operators send to a controller, and their encoding by
 * {@code peer.avsc}. Values only: no sockets, no clock, no state but the codec's buffers.
 */
package garnetscale.peer;
