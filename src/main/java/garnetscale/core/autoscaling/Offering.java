package garnetscale.core.autoscaling;

/** A kind of instance that the cloud can launch: a machine type in a zone, as a spot instance or on demand. */
record Offering(String type, String zone, boolean spot) {}
