package garnetscale.core.autoscaling;

import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import garnetscale.core.queue.JobQueue;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The machine types and prices that the cloud offers, without the offerings that it has refused recently. */
final class Offerings {

    /** The longest backoff, as a multiple of the time between two calls; {@link #MAX_BACKOFF_MS} applies if it is shorter. */
    private static final int MAX_BACKOFF_CALLS = 40;

    private static final long MAX_BACKOFF_MS = 30_000;
    private static final long FIRST_BACKOFF_MS = 4000;
    /** The most times that the backoff is doubled. */
    private static final int MAX_DOUBLINGS = 3;

    private static final class Backoff {
        long until;
        int refusals;
    }

    private final long maxBackoffMs;
    private final Map<Offering, Backoff> backoffs = new HashMap<>();
    private List<MachineType> types = List.of();

    /** Creates a list without offerings; {@code callSpacingMs} is the time between two calls to the cloud. */
    Offerings(long callSpacingMs) {
        maxBackoffMs = Math.min(MAX_BACKOFF_MS, MAX_BACKOFF_CALLS * callSpacingMs);
    }

    void onTypes(List<MachineType> current) {
        types = current;
    }

    boolean isEmpty() {
        return types.isEmpty();
    }

    /** Returns the named type, or null if the cloud doesn't offer it. */
    MachineType type(String name) {
        for (MachineType type : types) {
            if (type.name().equals(name)) {
                return type;
            }
        }
        return null;
    }

    /** Backs off from an offering that the cloud had no capacity for. Returns whether this is the first refusal in a row. */
    boolean backOff(long now, Offering offering) {
        Backoff backoff = backoffs.computeIfAbsent(offering, key -> new Backoff());
        backoff.refusals++;
        backoff.until = now + Math.min(maxBackoffMs, FIRST_BACKOFF_MS << Math.min(MAX_DOUBLINGS, backoff.refusals - 1));
        return backoff.refusals == 1;
    }

    /** Ends the backoff from an offering, since there is capacity again. */
    void endBackoff(Offering offering) {
        backoffs.remove(offering);
    }

    /**
     * Returns the offering that runs {@code tasks} tasks of the job at the lowest cost per task, or null if there is none. A slow
     * boot increases the cost. Among equals, the first offering is returned, in the cloud's order of types and zones, spot before
     * on demand.
     */
    Offering cheapest(long now, JobSpec job, int tasks) {
        Offering best = null;
        double bestCost = Double.MAX_VALUE;
        for (MachineType type : types) {
            for (String zone : type.zones()) {
                for (boolean spot : new boolean[] {true, false}) {
                    Offering offering = new Offering(type.name(), zone, spot);
                    Backoff backoff = backoffs.get(offering);
                    boolean isAvailable = backoff == null || now >= backoff.until;
                    int slots = new FreeCapacity(type).slots(job);
                    if (isAvailable && slots > 0 && JobQueue.allows(type, zone, spot, job)) {
                        double cost = costPerTask(type, spot, Math.min(slots, tasks));
                        if (cost < bestCost) {
                            bestCost = cost;
                            best = offering;
                        }
                    }
                }
            }
        }
        return best;
    }

    private static double costPerTask(MachineType type, boolean spot, int tasks) {
        double price = spot ? type.spotPrice() : type.price();
        return price / tasks * (1 + type.bootS() / 60);
    }
}
