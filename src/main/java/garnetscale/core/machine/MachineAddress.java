package garnetscale.core.machine;

/** Where a machine can be spoken to, and what decides its block; the leader tells holders what the cloud lists. */
public record MachineAddress(String machine, String address, String zone) {

    /** Explicit because it is on the hot path; see the package documentation of {@code garnetscale.core}. */
    @Override
    public boolean equals(Object o) {
        return o instanceof MachineAddress other
                && machine.equals(other.machine)
                && address.equals(other.address)
                && zone.equals(other.zone);
    }

    @Override
    public int hashCode() {
        return machine.hashCode();
    }
}
