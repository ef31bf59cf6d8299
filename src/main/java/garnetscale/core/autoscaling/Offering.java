package garnetscale.core.autoscaling;

/** What the cloud launches instances of: a machine type in a zone, as a spot instance or on demand. */
record Offering(String type, String zone, boolean spot) {}
