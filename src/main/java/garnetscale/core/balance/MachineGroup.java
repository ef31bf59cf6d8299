package garnetscale.core.balance;

/** The machines of one type in one zone, which are interchangeable for a job. */
public record MachineGroup(String zone, String type) {

    @Override
    public String toString() {
        return zone + "/" + type;
    }
}
