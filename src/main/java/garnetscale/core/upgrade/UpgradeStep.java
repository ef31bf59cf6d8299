package garnetscale.core.upgrade;

/** What an operator may ask of the leader. Each is idempotent: asked for again once it is done, it changes nothing. */
public enum UpgradeStep {
    /** Makes the latest version that every live controller supports the active one. */
    ACTIVATE,
    /** Goes back to the version before the active one, and has what is stored converted. */
    DEACTIVATE,
    /** Gives up the way back to earlier versions. */
    FINALIZE
}
