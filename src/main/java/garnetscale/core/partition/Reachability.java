package garnetscale.core.partition;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.Times;
import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Detects that this controller is isolated from workers. It may be cut off from them while the state service and its peers
 * still reach it; everybody else then goes on redirecting its machines to it until their leases expire. Where so many
 * heartbeats are overdue that chance can't explain the silence, it gives up its partitions by itself, and probes the machines
 * that it lost until one answers.
 */
final class Reachability {

    /** Heartbeats that must be overdue together before silence means isolation rather than chance. */
    private static final double OVERDUE_HEARTBEATS = 20;
    /** Machines that are probed at a time while this controller is isolated. */
    private static final int PROBES_AT_A_TIME = 3;
    /** Silence of all workers that is always tolerated, as a fraction of the heartbeat interval. */
    private static final int SILENCES_PER_HEARTBEAT = 4;
    /** Silence of all workers that is tolerated at least. */
    private static final long MIN_SILENCE_MS = 1000;
    /** Checks in the time of a tolerated silence. */
    private static final int CHECKS_PER_SILENCE = 5;

    private final SchedulerConfig config;
    private final Set<String> lostPartitions = new TreeSet<>();
    private boolean isolatedFromWorkers;
    private long reachableAt;
    private long checkedAt = Times.NEVER;
    private long probedAt = Times.NEVER;
    private int nextToProbe;

    Reachability(SchedulerConfig config) {
        this.config = config;
    }

    /** A worker reached this controller: by its heartbeat, or by its answer to a probe or a command. */
    void onReachable(long now) {
        reachableAt = now;
        isolatedFromWorkers = false;
        lostPartitions.clear();
    }

    /** Whether no worker can reach this controller, as far as it can tell. */
    boolean isIsolatedFromWorkers() {
        return isolatedFromWorkers;
    }

    /**
     * Checks whether workers still reach this controller. After a pause in which this process didn't check either, nothing
     * can be concluded: what arrived meanwhile has yet to be read.
     *
     * @param expected machines that heartbeats are expected from
     * @param partitions the partitions owned now, which are lost if this controller is isolated
     * @return whether this check found it newly isolated
     */
    boolean check(long now, int expected, Collection<String> partitions) {
        boolean hasPaused = now - checkedAt > toleratedSilenceMs() / 2;
        checkedAt = now;
        if (hasPaused) {
            reachableAt = now;
        }
        boolean isSilent = expected * (double) (now - reachableAt) / config.heartbeatIntervalMs() > OVERDUE_HEARTBEATS
                && now - reachableAt > toleratedSilenceMs();
        if (!isolatedFromWorkers && isSilent) {
            isolatedFromWorkers = true;
            lostPartitions.addAll(partitions);
            return true;
        }
        return false;
    }

    /** Whether enough time has passed for the next check. */
    boolean isCheckDue(long now) {
        return now - checkedAt >= toleratedSilenceMs() / CHECKS_PER_SILENCE;
    }

    /** However many machines there are, a busy process may be late by this much. */
    private long toleratedSilenceMs() {
        return Math.max(MIN_SILENCE_MS, config.heartbeatIntervalMs() / SILENCES_PER_HEARTBEAT);
    }

    /**
     * Returns which machines of the lost partitions to probe now; empty unless this controller is isolated.
     *
     * @param machines names of all machines in the cluster
     * @param partitionOf the partition of a machine by its name
     */
    Collection<String> machinesToProbe(long now, Collection<String> machines, Function<String, String> partitionOf) {
        Set<String> toProbe = new TreeSet<>();
        if (!isolatedFromWorkers || now - probedAt < toleratedSilenceMs()) {
            return toProbe;
        }
        probedAt = now;
        String[] lost = machines.stream()
                .filter(machine -> lostPartitions.contains(partitionOf.apply(machine)))
                .toArray(String[]::new);
        for (int i = 0; i < Math.min(PROBES_AT_A_TIME, lost.length); i++) {
            toProbe.add(lost[nextToProbe++ % lost.length]);
        }
        return toProbe;
    }
}
