package garnetscale.core.balance;

import garnetscale.core.job.TaskId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;

/**
 * Limits moves: the tasks that are stopping at a time, the moves within a window, one team's share of those moves, and the CPUs
 * in transit to one group. A task isn't moved again until its last move has paid back.
 *
 * <p>A leader's moves aren't stored. Instead, a new leader moves nothing as long as moves of an earlier leader could still count.
 * So every limit holds over all leaders together, however often they change.
 */
public final class MoveBudget {

    /** Length of the window, and the longest time that a move may take to pay back, in worker leases. */
    private static final double WINDOW_LEASES = 4;
    /**
     * This many tasks may be stopping at a time in a cluster of any size. A lower limit could make it impossible to clear a
     * machine of small tasks.
     */
    private static final int MIN_CONCURRENT_LIMIT = 4;
    /** The most moves in a window, as a multiple of the tasks that may be stopping at a time. */
    private static final double WINDOW_MULTIPLE = 4;
    /** The largest share of a window's moves that one team's tasks may have. */
    private static final double TEAM_SHARE = 0.5;
    /** The largest share of a group's free CPUs that moved tasks in transit may take. */
    private static final double DESTINATION_SHARE = 0.5;
    /** Time that a moved task counts as in transit, in worker leases; after that, it or other tasks have been placed. */
    private static final double TRANSIT_LEASES = 1;

    /** A move that was made at {@code at}, in milliseconds. */
    private record Entry(Move move, long at) {}

    private final double movingShare;
    private final long windowMs;
    private final long transitMs;
    private final Deque<Entry> recent = new ArrayDeque<>();
    private final List<Move> unconfirmed = new ArrayList<>();
    private long quietUntil;
    private int placed;
    private int stopping;

    /**
     * Creates a budget without moves.
     *
     * @param moving share of the placed tasks that may be stopping at a time
     * @param leaseMs the worker lease in milliseconds
     */
    public MoveBudget(double moving, long leaseMs) {
        movingShare = moving;
        windowMs = Math.round(WINDOW_LEASES * leaseMs);
        transitMs = Math.round(TRANSIT_LEASES * leaseMs);
    }

    /** Starts the term of this controller as leader, which doesn't know what an earlier leader has moved. */
    public void startTerm(long now) {
        recent.clear();
        unconfirmed.clear();
        quietUntil = now + windowMs;
    }

    /** Returns whether this leader still has to wait before its first move. */
    public boolean isQuiet(long now) {
        return now < quietUntil;
    }

    /** Starts a planning pass; {@code stoppingNow} is the number of placed tasks that are being stopped, for any reason. */
    public void startPass(long now, int placedTasks, int stoppingNow) {
        placed = placedTasks;
        stopping = stoppingNow;
        while (!recent.isEmpty() && now - recent.peekFirst().at() >= windowMs) {
            recent.removeFirst();
        }
    }

    private int concurrentLimit() {
        return (int) Math.max(MIN_CONCURRENT_LIMIT, movingShare * placed);
    }

    private int windowLimit() {
        return (int) (WINDOW_MULTIPLE * concurrentLimit());
    }

    /** Returns whether all of these moves may be made, in addition to the moves already counted. */
    public boolean allows(long now, List<Move> moves, LoadSnapshot load) {
        if (isQuiet(now)
                || stopping + moves.size() > concurrentLimit()
                || recent.size() + moves.size() > windowLimit()) {
            return false;
        }
        return moves.stream().allMatch(move -> allows(now, move, moves, load));
    }

    private boolean allows(long now, Move move, List<Move> jointMoves, LoadSnapshot load) {
        if (move.paybackMs() > windowMs || isPayingBack(now, move.task())) {
            return false;
        }
        long ofTeam = count(recent, entry -> entry.move().team().equals(move.team()))
                + jointMoves.stream()
                        .filter(other -> other.team().equals(move.team()))
                        .count();
        if (ofTeam > TEAM_SHARE * windowLimit()) {
            return false;
        }
        double cpus = jointMoves.stream()
                .filter(other -> other.to().equals(move.to()))
                .mapToDouble(Move::cpus)
                .sum();
        return mayReceive(now, move.to(), cpus - move.cpus(), move.cpus(), load);
    }

    /**
     * Returns whether a task of {@code cpus} CPUs may be moved to the group, in addition to the tasks in transit and to
     * {@code plannedCpus} further CPUs. If there are no such tasks or CPUs, it may be moved regardless of its size.
     */
    boolean mayReceive(long now, MachineGroup group, double plannedCpus, double cpus, LoadSnapshot load) {
        double inTransitCpus = plannedCpus;
        for (Entry entry : recent) {
            if (entry.move().to().equals(group) && now - entry.at() < transitMs) {
                inTransitCpus += entry.move().cpus();
            }
        }
        return inTransitCpus == 0 || inTransitCpus + cpus <= DESTINATION_SHARE * load.freeCpus(group);
    }

    private static long count(Deque<Entry> entries, Predicate<Entry> isCounted) {
        return entries.stream().filter(isCounted).count();
    }

    /** Returns whether the task's last move hasn't paid back yet. */
    public boolean isPayingBack(long now, TaskId task) {
        for (Entry entry : recent) {
            if (entry.move().task().equals(task)
                    && now - entry.at() < entry.move().paybackMs()) {
                return true;
            }
        }
        return false;
    }

    /** Counts a move as made. */
    public void add(long now, Move move) {
        recent.addLast(new Entry(move, now));
        unconfirmed.add(move);
        stopping++;
    }

    /**
     * Removes moves whose transaction was not applied, and returns the others. May be called only when no transaction is in
     * flight and none can be applied late.
     *
     * @param isUnchanged whether the stored placement is the same as before the move
     * @return the moves since the last call whose transaction was applied
     */
    public List<Move> reconcile(Predicate<Move> isUnchanged) {
        List<Move> stored = new ArrayList<>();
        for (Move move : unconfirmed) {
            if (isUnchanged.test(move)) {
                recent.removeIf(entry -> entry.move().equals(move));
            } else {
                stored.add(move);
            }
        }
        unconfirmed.clear();
        return stored;
    }

    /** Returns the moves within the window, oldest first. */
    public List<Move> recent() {
        return recent.stream().map(Entry::move).toList();
    }
}
