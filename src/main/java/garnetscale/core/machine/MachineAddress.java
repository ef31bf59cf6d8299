package garnetscale.core.machine;

/**
 * An entry of the machine directory, which the leader sends to all partition owners from what the cloud lists.
 *
 * @param machine the machine's name
 * @param address host and port of its worker
 * @param zone the zone, which together with the name decides the machine's partition
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
