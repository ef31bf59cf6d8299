package garnetscale.core.upgrade;

/** A step that an operator may request from the leader. Every step is idempotent: repeating a completed step changes nothing. */
public enum UpgradeStep {
    /** Activates the next version, if every live controller supports it. */
    ACTIVATE,
    /** Returns to the version before the active one and converts the stored records back. */
    DEACTIVATE,
    /** Prevents a return to any earlier version. */
    FINALIZE
}
