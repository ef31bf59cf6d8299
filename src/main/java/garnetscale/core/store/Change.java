package garnetscale.core.store;

/** A key that changed at a revision; {@code value} is null when it was removed. */
public record Change(String key, Object value, long stamp) {}
