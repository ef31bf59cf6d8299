/**
 * One controller process: its event loop, its HTTP API for users and workers, and its links to the state service, the
 * cloud, the workers and the other controllers.
 *
 * <p>{@link garnetscale.controller.ControllerNode} wires the parts and runs their cycles. Each part owns its own state and is
 * confined to the one event loop. Decisions are made in {@code garnetscale.core}, which the parts call and whose effects they
 * carry out. Nothing here may block, or hold a second copy of data that the replica holds.
 */
package garnetscale.controller;
