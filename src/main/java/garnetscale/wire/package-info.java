/**
 * The codecs of the published protocol for users, workers, the cloud and the state service. They map the protocol's field names
 * and values to the terms of the code. All public classes are stateless and thread-safe.
 *
 * <p>In a serving controller, the protocol's field names appear only in this package; paths appear also in {@code net} and
 * {@code controller}, names of job states also in {@code controller}. {@code emulator} and {@code cli.LoopbackDemo}, which stand
 * in for the outside systems and for users, use the protocol's names themselves.
 */
package garnetscale.wire;
