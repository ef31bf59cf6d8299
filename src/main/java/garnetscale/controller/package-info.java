/**
 * One controller process: its event loop, its HTTP API for users and workers, and its links to the state service, the
 * cloud, the workers and the other controllers. Everything here runs on that one event loop and owns its state there.
 */
package garnetscale.controller;
