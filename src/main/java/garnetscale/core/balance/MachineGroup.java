package garnetscale.core.balance;

/** The machines of one type in one zone; for a job they are interchangeable. */
public record MachineGroup(String zone, String type) {

    @Override
    public String toString() {
        return zone + "/" + type;
    }
}
