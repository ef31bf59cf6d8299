/**
 * The codecs of the published protocol: users, workers, the cloud and the state service. The protocol's own words stand here
 * and nowhere else; the codecs map them to the terms of the code. Everything here is stateless and may be used by any thread.
 */
package garnetscale.wire;
