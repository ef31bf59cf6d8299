package garnetscale.core.balance;

/** Why the leader doesn't rely on what it knows of a machine. */
public enum UnknownReason {
    /** The machine's partition has a new term, and its owner hasn't published the machine's status under it yet. */
    PARTITION_REASSIGNED,
    /** The leader hasn't received anything from the partition's owner for a while. */
    OWNER_UNHEARD,
    /** The partition's owner hasn't submitted bids under the present term. */
    OWNER_NOT_BIDDING,
    /** The partition's owner receives no heartbeats from the machine. */
    MACHINE_SILENT
}
