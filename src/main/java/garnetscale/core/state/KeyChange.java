package garnetscale.core.state;

/** A key that changed at a revision; {@code value} is null when it was removed. */
public record KeyChange(String key, Object value, long modRevision) {}
