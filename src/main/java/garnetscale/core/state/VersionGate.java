package garnetscale.core.state;

import garnetscale.core.upgrade.VersionRange;
import java.util.List;

/**
 * Whether this controller can read what is stored: it supports the active version, and has met no record that it can't
 * decode. A controller that can't decides nothing, which is safer than one that misreads a record.
 */
final class VersionGate {

    private final VersionRange supported;
    private String unreadable;

    VersionGate(VersionRange supported) {
        this.supported = supported;
    }

    /** Forgets the unreadable record, for a new listing. */
    void open() {
        unreadable = null;
    }

    /** Which record can't be read, and why; null while all can. */
    String unreadable() {
        return unreadable;
    }

    /** Whether the active version, if it is among the changes, is supported; to be asked before anything is decoded. */
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

    /** Takes note that a record can't be read, and why. */
    void close(KeyChange change, String reason) {
        unreadable = change.key() + " as of revision " + change.modRevision() + ": " + reason;
    }
}
