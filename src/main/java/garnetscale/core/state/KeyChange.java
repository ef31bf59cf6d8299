package garnetscale.core.state;

/**
 * A key that changed, or that a listing shows.
 *
 * @param value       the stored value in the form of {@link Records} and {@link LogCodec}; null when the key was deleted
 * @param modRevision the revision at which it changed
 */
public record KeyChange(String key, Object value, long modRevision) {}
