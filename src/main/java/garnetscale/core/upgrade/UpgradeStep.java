package garnetscale.core.upgrade;

/** A step that an operator may request from the leader. Each is idempotent: a repeat of a step that is done changes nothing. */
public enum UpgradeStep {
    /** Activates the next version, if every live controller supports it. */
    ACTIVATE,
    /** Goes back to the version before the active one; stored records are converted back. */
    DEACTIVATE,
    /** Rules out going back to an earlier version. */
    FINALIZE
}
