/**
 * HTTP and the links between controllers, on Netty: sockets, framing, timeouts and connection limits. It knows paths and messages
 * only as far as it needs them to distinguish workers from users. It makes no scheduling decisions and keeps no state of the
 * cluster. All objects are confined to the event loop that they are given.
 */
package garnetscale.net;
