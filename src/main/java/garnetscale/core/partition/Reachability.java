package garnetscale.core.partition;

import garnetscale.core.SchedulerConfig;
import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Whether this node hears its machines at all. A controller may be cut off from the workers while state service and
 * peers still reach it; its machines are then sent back to it by everybody else until their leases run out. Where so many
 * reports are due that chance can't explain that none comes, it gives its blocks up by itself, and asks the machines that
 * it lost until one answers.
 */
final class Reachability {

    /** Reports that must be overdue together before silence means deafness rather than chance. */
    private static final double OVERDUE = 20;
    /** Machines that are asked at a time while nothing is heard. */
    private static final int ASKED = 3;

    private final SchedulerConfig config;
    private final Set<String> lost = new TreeSet<>();
    private boolean isolatedFromWorkers;
    private long heardAt;
    private long lookedAt = Long.MIN_VALUE / 2;
    private long askedAt = Long.MIN_VALUE / 2;
    private int next;

    Reachability(SchedulerConfig config) {
        this.config = config;
    }

    /** A worker was heard: by its report, or by its answer to a question or a command. */
    void heard(long now) {
        heardAt = now;
        isolatedFromWorkers = false;
        lost.clear();
    }

    boolean isolatedFromWorkers() {
        return isolatedFromWorkers;
    }

    /**
     * Looks again, with the machines that reports are due from. After a pause in which this process didn't look either
     * nothing can be told: what came meanwhile is still to be read.
     */
    boolean lookAt(long now, int due, Collection<String> partitions) {
        boolean paused = now - lookedAt > silence() / 2;
        lookedAt = now;
        if (paused) {
            heardAt = now;
        }
        boolean quiet =
                due * (double) (now - heardAt) / config.heartbeatIntervalMs() > OVERDUE && now - heardAt > silence();
        if (!isolatedFromWorkers && quiet) {
            isolatedFromWorkers = true;
            lost.addAll(partitions);
            return true;
        }
        return false;
    }

    /** Whether enough time has passed to look again. */
    boolean due(long now) {
        return now - lookedAt >= silence() / 5;
    }

    /** However many machines there are, a busy process may be late by this much. */
    private long silence() {
        return Math.max(1000, config.heartbeatIntervalMs() / 4);
    }

    /** Of the machines in the blocks that were given up, those to ask now; {@code all} are machine names and their blocks. */
    Collection<String> toAsk(long now, Collection<String> all, Function<String, String> partitionOf) {
        Set<String> ask = new TreeSet<>();
        if (!isolatedFromWorkers || now - askedAt < silence()) {
            return ask;
        }
        askedAt = now;
        String[] mine =
                all.stream().filter(m -> lost.contains(partitionOf.apply(m))).toArray(String[]::new);
        for (int i = 0; i < Math.min(ASKED, mine.length); i++) {
            ask.add(mine[next++ % mine.length]);
        }
        return ask;
    }
}
