/**
 * The messages between controllers and between operators and controllers, and their encoding by {@code peer.avsc}. This package
 * uses no sockets and no clock, and its only state is the codec's buffers.
 */
package garnetscale.peer;
