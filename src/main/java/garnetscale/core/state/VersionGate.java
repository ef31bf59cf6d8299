package garnetscale.core.state;

import garnetscale.core.upgrade.VersionRange;
import java.util.List;

/**
 * Tracks whether this controller can read the stored state: it must support the active version and be able to decode every
 * record. A controller that can't makes no decisions, which is safer than decisions from a misread record.
 */
final class VersionGate {

    private final VersionRange supported;
    private String unreadable;

    VersionGate(VersionRange supported) {
        this.supported = supported;
    }

    /** Clears the unreadable record, for a new listing. */
    void open() {
        unreadable = null;
    }

    /** Returns the key, the revision and the error of the unreadable record, or null if there is none. */
    String unreadable() {
        return unreadable;
    }

    /**
     * Returns whether this controller supports the active version, or true if the changes don't include it. Must be called
     * before any change is decoded.
     */
    boolean admits(List<KeyChange> changes) {
        for (KeyChange change : changes) {
            if (change.key().equals(Keys.VERSION) && !admits(change)) {
                return false;
            }
        }
        return true;
    }

    @SuppressWarnings("IllegalCatch") // a malformed record fails to decode in many ways, and all of them close the gate
    private boolean admits(KeyChange change) {
        try {
            int active = change.value() == null
                    ? Layouts.FIRST
                    : Records.version(change.value()).active();
            if (!supported.contains(active)) {
                close(change, "version " + active + ", and this controller supports " + supported);
                return false;
            }
            return true;
        } catch (RuntimeException e) {
            close(change, e.getMessage());
            return false;
        }
    }

    /** Marks a record as unreadable, for the given reason. */
    void close(KeyChange change, String reason) {
        unreadable = change.key() + " as of revision " + change.modRevision() + ": " + reason;
    }
}
