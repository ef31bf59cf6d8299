package garnetscale.core.sim;

import garnetscale.core.job.JobSpec;
import garnetscale.core.job.TaskId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Records the moves in a simulated cluster and their results, derived only from what the workers really ran and from the log
 * lines of the leaders.
 *
 * <p>A move is useful if a task of a job with a higher priority started on the machine before the moved task would have completed
 * there. Otherwise it is needless.
 */
final class MoveHistory {

    /**
     * The log line of a stored move; {@code for_job} is the beneficiary, or none if the gain is that the moved task itself
     * completes earlier.
     */
    private static final Pattern MOVED = Pattern.compile(
            "moving task, task=(\\S+)/(\\d+) machine=(\\S+) from=.* for_job=(?:none|(\\S+)) gain_cpu_s=.*");

    /**
     * A move, which stops a task so that it starts again elsewhere.
     *
     * @param machine       the machine that the task leaves
     * @param beneficiary   the job that gets the freed capacity; null if the gain is that the moved task completes earlier
     * @param at            time at which the leader logged the move, in milliseconds
     * @param expectedEndAt time at which the task would have completed on the machine, in milliseconds: its estimate after its
     *                      real start, or after {@code at} if it doesn't run there
     */
    record Move(TaskId task, String machine, String beneficiary, long at, long expectedEndAt) {}

    private record Start(TaskId task, String machine, long at) {}

    private final SimulatedCluster cluster;
    final List<Move> moves = new ArrayList<>();
    private final List<Start> starts = new ArrayList<>();
    private final Map<TaskId, Start> running = new HashMap<>();

    MoveHistory(SimulatedCluster cluster) {
        this.cluster = cluster;
        cluster.onLog = (node, line) -> onLog(line);
        cluster.rules.onStarted = (machine, task) -> {
            Start start = new Start(task, machine, cluster.now);
            starts.add(start);
            running.put(task, start);
        };
    }

    private void onLog(String line) {
        Matcher matcher = MOVED.matcher(line);
        if (!matcher.matches()) {
            return;
        }
        TaskId task = new TaskId(matcher.group(1), Integer.parseInt(matcher.group(2)));
        String machine = matcher.group(3);
        Start start = running.get(task);
        long runMs = Math.round(1000 * cluster.rules.jobs.get(task.job()).estimateS());
        boolean runsThere = start != null && start.machine().equals(machine);
        moves.add(
                new Move(task, machine, matcher.group(4), cluster.now, (runsThere ? start.at() : cluster.now) + runMs));
    }

    /**
     * Returns the moved tasks that neither started again nor completed and whose job wasn't cancelled. There must be none once
     * all jobs are terminal.
     */
    Set<TaskId> lostTasks() {
        Set<TaskId> lost = new LinkedHashSet<>();
        for (Move move : moves) {
            boolean restarted =
                    starts.stream().anyMatch(start -> start.task().equals(move.task()) && start.at() > move.at());
            if (!restarted
                    && !cluster.rules.isCancelled(move.task().job())
                    && !cluster.rules.hasCompleted(move.task())) {
                lost.add(move.task());
            }
        }
        return lost;
    }

    /** Returns the number of moves after which the task started on a machine of another type than the one that it left. */
    long countStartedOnOtherType() {
        return moves.stream()
                .filter(move -> starts.stream()
                        .anyMatch(start -> start.task().equals(move.task())
                                && start.at() > move.at()
                                && !cluster.typeOf(start.machine()).equals(cluster.typeOf(move.machine()))))
                .count();
    }

    /** Returns the number of needless moves. */
    long countNeedless() {
        return moves.stream().filter(move -> !isUseful(move)).count();
    }

    private boolean isUseful(Move move) {
        JobSpec moved = cluster.rules.jobs.get(move.task().job());
        return starts.stream()
                .anyMatch(start -> start.machine().equals(move.machine())
                        && start.at() > move.at()
                        && start.at() < move.expectedEndAt()
                        && cluster.rules.jobs.get(start.task().job()).priority().compareTo(moved.priority()) < 0);
    }

    /** Returns the CPU-seconds that moved tasks had run. All of it is lost, because the simulated tasks save no checkpoints. */
    double lostCpuS() {
        double lost = 0;
        for (Move move : moves) {
            JobSpec job = cluster.rules.jobs.get(move.task().job());
            double remainingS = (move.expectedEndAt() - move.at()) / 1000.0;
            lost += Math.max(0, job.estimateS() - remainingS) * job.cpus();
        }
        return lost;
    }

    /**
     * Returns the shortest time between two moves of one task, in milliseconds; {@code Long.MAX_VALUE} if none was moved twice.
     */
    long minIntervalBetweenMovesMs() {
        long shortest = Long.MAX_VALUE;
        for (Move first : moves) {
            for (Move second : moves) {
                if (second.task().equals(first.task()) && second.at() > first.at()) {
                    shortest = Math.min(shortest, second.at() - first.at());
                }
            }
        }
        return shortest;
    }

    /** Returns the largest number of moves within any period of {@code ms} milliseconds. */
    int maxMovesWithin(long ms) {
        int max = 0;
        for (Move first : moves) {
            int within = (int) moves.stream()
                    .filter(move -> move.at() >= first.at() && move.at() < first.at() + ms)
                    .count();
            max = Math.max(max, within);
        }
        return max;
    }
}
