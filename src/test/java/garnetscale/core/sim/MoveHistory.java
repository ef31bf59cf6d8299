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
 * What became of each moved task, told from what truly ran where and from the leaders' log lines alone. A move is needless if no
 * task of a more urgent job began on the machine that it left, before the moved task would have ended there by itself.
 */
final class MoveHistory {

    /** The log line of a stored move; the job that gets the room, or none where the task itself ends earlier. */
    private static final Pattern MOVED = Pattern.compile(
            "moving task, task=(\\S+)/(\\d+) machine=(\\S+) from=.* for_job=(?:none|(\\S+)) gain_cpu_s=.*");

    /** A stop of a task on a machine; {@code endsAt}: when it would have ended there, by what truly ran. */
    record Moved(TaskId task, String machine, String beneficiary, long at, long endsAt) {}

    private record Start(TaskId task, String machine, long at) {}

    private final SimulatedCluster cluster;
    final List<Moved> moves = new ArrayList<>();
    private final List<Start> starts = new ArrayList<>();
    private final Map<TaskId, Start> running = new HashMap<>();

    MoveHistory(SimulatedCluster cluster) {
        this.cluster = cluster;
        cluster.onLog = (node, line) -> onLog(line);
        cluster.rules.onBegan = (machine, task) -> {
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
        boolean isThere = start != null && start.machine().equals(machine);
        moves.add(
                new Moved(task, machine, matcher.group(4), cluster.now, (isThere ? start.at() : cluster.now) + runMs));
    }

    /** Moved tasks that neither started again nor belong to a job that was cancelled; empty once all is over. */
    Set<TaskId> lost() {
        Set<TaskId> lost = new LinkedHashSet<>();
        for (Moved move : moves) {
            boolean again =
                    starts.stream().anyMatch(start -> start.task().equals(move.task()) && start.at() > move.at());
            if (!again && !cluster.rules.isCancelled(move.task().job()) && !cluster.rules.isDone(move.task())) {
                lost.add(move.task());
            }
        }
        return lost;
    }

    /** Whether a moved task started again on a machine of another type than the one that it left. */
    long startedElsewhere() {
        return moves.stream()
                .filter(move -> starts.stream()
                        .anyMatch(start -> start.task().equals(move.task())
                                && start.at() > move.at()
                                && !cluster.typeOf(start.machine()).equals(cluster.typeOf(move.machine()))))
                .count();
    }

    long needless() {
        return moves.stream().filter(move -> !isOfUse(move)).count();
    }

    private boolean isOfUse(Moved move) {
        JobSpec moved = cluster.rules.jobs.get(move.task().job());
        return starts.stream()
                .anyMatch(start -> start.machine().equals(move.machine())
                        && start.at() > move.at()
                        && start.at() < move.endsAt()
                        && cluster.rules.jobs.get(start.task().job()).priority().compareTo(moved.priority()) < 0);
    }

    /** CPU-seconds that moved tasks had run and didn't save. */
    double lostCpuS() {
        double lost = 0;
        for (Moved move : moves) {
            JobSpec job = cluster.rules.jobs.get(move.task().job());
            double leftS = (move.endsAt() - move.at()) / 1000.0;
            lost += Math.max(0, job.estimateS() - leftS) * job.cpus();
        }
        return lost;
    }

    /** The shortest time between two moves of one task, in milliseconds; the largest number if none was moved twice. */
    long shortestBetweenMoves() {
        long shortest = Long.MAX_VALUE;
        for (Moved first : moves) {
            for (Moved second : moves) {
                if (second.task().equals(first.task()) && second.at() > first.at()) {
                    shortest = Math.min(shortest, second.at() - first.at());
                }
            }
        }
        return shortest;
    }

    /** The most moves within any time of this length. */
    int mostWithin(long ms) {
        int most = 0;
        for (Moved first : moves) {
            int within = (int) moves.stream()
                    .filter(move -> move.at() >= first.at() && move.at() < first.at() + ms)
                    .count();
            most = Math.max(most, within);
        }
        return most;
    }
}
