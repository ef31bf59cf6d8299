package garnetscale.core.balance;

/** Why the leader's information on a machine can't be relied on. */
public enum UnknownReason {
    /** The block has a new term, and its holder hasn't reported this machine under it yet. */
    PARTITION_REASSIGNED,
    /** The block's holder hasn't been heard from for a while. */
    OWNER_UNHEARD,
    /** The block's holder hasn't bid under its present term, so that nobody speaks for the block. */
    OWNER_NOT_BIDDING,
    /** The holder doesn't hear the machine. */
    MACHINE_SILENT
}
