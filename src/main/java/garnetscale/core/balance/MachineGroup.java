package garnetscale.core.balance;

/** The machines of one type in one zone, which are interchangeable for a job that may run on spot instances. */
public record MachineGroup(String zone, String type) {

    @Override
    public String toString() {
        return zone + "/" + type;
    }
}
