package garnetscale.core.machine;

/**
 * An entry of the machine directory, which the leader builds from the cloud's instance list and sends to all partition owners.
 *
 * @param machine the machine's name
 * @param address host and port of the machine's worker
 * @param zone the machine's zone, which together with the name decides the machine's partition
 */
public record MachineAddress(String machine, String address, String zone) {

    /** Explicit because it is on the hot path; see {@link garnetscale.core}. */
    @Override
    public boolean equals(Object object) {
        return object instanceof MachineAddress other
                && machine.equals(other.machine)
                && address.equals(other.address)
                && zone.equals(other.zone);
    }

    @Override
    public int hashCode() {
        return machine.hashCode();
    }
}
