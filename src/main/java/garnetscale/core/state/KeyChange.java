package garnetscale.core.state;

/**
 * A changed key from a watch, or a key from a listing.
 *
 * @param value       the stored value in the form of {@link Records} or {@link LogCodec}; null if the key was deleted
 * @param modRevision the revision at which the key last changed
 */
public record KeyChange(String key, Object value, long modRevision) {}
