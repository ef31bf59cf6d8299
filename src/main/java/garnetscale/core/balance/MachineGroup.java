package garnetscale.core.balance;

/** The machines of one type in one zone. Any of them would do for a job as well as the others. */
public record MachineGroup(String zone, String type) {

    @Override
    public String toString() {
        return zone + "/" + type;
    }
}
