/**
 * The codecs of the published protocol for users, workers, the cloud and the state service. The protocol's own field names and
 * values appear only in this package; the codecs map them to the terms of the code. All classes are stateless and thread-safe.
 */
package garnetscale.wire;
