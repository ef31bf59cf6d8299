/**
 * HTTP and the links between controllers, on Netty: sockets, framing, timeouts and limits on them. It knows paths and messages
 * only as far as it must tell workers from users, decides nothing, and keeps no state of the cluster. Everything here lives on
 * the event loop that it is given, and is called on it alone.
 */
package garnetscale.net;
