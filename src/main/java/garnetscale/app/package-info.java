/**
 * Wires the core to sockets and timers, and is the command line. A process has one event loop: the node, its links
 * to the state service, the cloud, workers and peers, and the front all live on it and own their state there.
 */
package garnetscale.app;
