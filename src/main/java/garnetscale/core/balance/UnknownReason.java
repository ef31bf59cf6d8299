package garnetscale.core.balance;

/** The reason why the leader treats a machine's load as unknown. */
public enum UnknownReason {
    /** The machine's partition has a new term, and its owner hasn't published the machine's status under that term yet. */
    PARTITION_REASSIGNED,
    /** The leader hasn't received any message from the partition's owner for a while. */
    OWNER_SILENT,
    /** The partition's owner hasn't submitted bids under the partition's current term. */
    OWNER_NOT_BIDDING,
    /** The partition's owner receives no heartbeats from the machine. */
    MACHINE_SILENT
}
