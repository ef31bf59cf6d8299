package garnetscale.core.balance;

/** Why the leader doesn't rely on what it knows of a machine. */
public enum UnknownReason {
    /** The machine's partition has a new term, and its owner hasn't published the machine's status under it yet. */
    PARTITION_REASSIGNED("BLOCK_REASSIGNED"),
    /** The leader hasn't received anything from the partition's owner for a while. */
    OWNER_UNHEARD("HOLDER_UNHEARD"),
    /** The partition's owner hasn't submitted bids under the present term. */
    OWNER_NOT_BIDDING("HOLDER_NOT_BIDDING"),
    /** The partition's owner receives no heartbeats from the machine. */
    MACHINE_SILENT("MACHINE_SILENT");

    private final String operatorWord;

    UnknownReason(String operatorWord) {
        this.operatorWord = operatorWord;
    }

    /** The word in the operators' load view, which is older than the names here; docs/operations.md explains it. */
    @Override
    public String toString() {
        return operatorWord;
    }
}
