package garnetscale.core.partition;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.Times;
import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Detects that this controller is isolated from workers. The state service and the other controllers may still reach it then,
 * so that all others keep redirecting its machines to it until the machines' leases expire. When more heartbeats are overdue
 * than chance can explain, this controller gives up its partitions without being asked to, and probes machines of these
 * partitions until one answers.
 */
final class Reachability {

    /** A silence in which more than this number of heartbeats were due means isolation rather than chance. */
    private static final double MIN_OVERDUE_HEARTBEATS = 20;
    /** Number of machines to probe per round while this controller is isolated. */
    private static final int PROBES_PER_ROUND = 3;
    /** Silence of all workers is always tolerated for the heartbeat interval divided by this number. */
    private static final int TOLERATED_SILENCES_PER_HEARTBEAT = 4;
    /** Lower bound of the tolerated silence of all workers. */
    private static final long MIN_TOLERATED_SILENCE_MS = 1000;
    /** Number of checks in the time of one tolerated silence. */
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

    /** Records that a worker reached this controller, by a heartbeat or by an answer to a probe or a command. */
    void onReachable(long now) {
        reachableAt = now;
        isolatedFromWorkers = false;
        lostPartitions.clear();
    }

    /** Whether no worker can reach this controller, as far as it can detect. */
    boolean isIsolatedFromWorkers() {
        return isolatedFromWorkers;
    }

    /**
     * Checks whether workers still reach this controller. After a pause in which this process made no checks, nothing can be
     * concluded: messages that arrived during the pause have yet to be read.
     *
     * @param expected number of machines from which heartbeats are expected
     * @param partitions the partitions owned now, which are lost if this controller is isolated
     * @return whether this check found the controller newly isolated
     */
    boolean check(long now, int expected, Collection<String> partitions) {
        boolean hasPaused = now - checkedAt > toleratedSilenceMs() / 2;
        checkedAt = now;
        if (hasPaused) {
            reachableAt = now;
        }
        boolean isSilent =
                expected * (double) (now - reachableAt) / config.heartbeatIntervalMs() > MIN_OVERDUE_HEARTBEATS
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

    /**
     * Returns how long a silence of all workers is always tolerated. The lower bound is independent of the number of
     * machines, because a busy process may be late by that much.
     */
    private long toleratedSilenceMs() {
        return Math.max(MIN_TOLERATED_SILENCE_MS, config.heartbeatIntervalMs() / TOLERATED_SILENCES_PER_HEARTBEAT);
    }

    /**
     * Returns the machines of the lost partitions to probe now; empty unless this controller is isolated and a round is due.
     *
     * @param machines names of all machines in the cluster
     * @param partitionOf returns the partition of a machine by the machine's name
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
        for (int i = 0; i < Math.min(PROBES_PER_ROUND, lost.length); i++) {
            toProbe.add(lost[nextToProbe++ % lost.length]);
        }
        return toProbe;
    }
}
