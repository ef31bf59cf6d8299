package garnetscale.core.balance;

import garnetscale.core.job.TaskId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;

/**
 * Limits moves: at a time, within a window, of one team, to one group, and of one task until its last move has paid back. A
 * leader's moves aren't stored; instead, a new leader moves nothing as long as moves of an earlier one could still count. So
 * every limit holds over all leaders together, however often they change.
 */
public final class MoveBudget {

    /** The window, and the longest time that a move may take to pay back, in worker leases. */
    private static final double WINDOW_LEASES = 4;
    /** As many tasks may be stopping in a cluster of any size: fewer could never empty a machine of small tasks. */
    private static final int MIN_AT_A_TIME = 4;
    /** Moves in a window, as a multiple of those that may be stopping at a time. */
    private static final double WINDOW_MULTIPLE = 4;
    /** The part of a window's moves that may be one team's. */
    private static final double TEAM_SHARE = 0.5;
    /** The part of a group's free CPUs that moved tasks in transit may take. */
    private static final double DESTINATION_SHARE = 0.5;
    /** How long a moved task counts as in transit, in worker leases; then it is placed again, or others were. */
    private static final double TRANSIT_LEASES = 1;

    private record Entry(Move move, long at) {}

    private final double share;
    private final long windowMs;
    private final long transitMs;
    private final Deque<Entry> recent = new ArrayDeque<>();
    private final List<Move> unconfirmed = new ArrayList<>();
    private long quietUntil;
    private int placed;
    private int stopping;

    /** {@code moving}: the part of the placed tasks that may be stopping at a time; {@code leaseMs}: the workers' lease. */
    public MoveBudget(double moving, long leaseMs) {
        share = moving;
        windowMs = Math.round(WINDOW_LEASES * leaseMs);
        transitMs = Math.round(TRANSIT_LEASES * leaseMs);
    }

    /** This controller became leader: it doesn't know what an earlier leader has moved. */
    public void begin(long now) {
        recent.clear();
        unconfirmed.clear();
        quietUntil = now + windowMs;
    }

    /** Whether this leader has to wait before its first move. */
    public boolean isQuiet(long now) {
        return now < quietUntil;
    }

    /** Begins a planning pass; {@code stoppingNow} counts the placed tasks that are being stopped, for whatever reason. */
    public void observe(long now, int placedTasks, int stoppingNow) {
        placed = placedTasks;
        stopping = stoppingNow;
        while (!recent.isEmpty() && now - recent.peekFirst().at() >= windowMs) {
            recent.removeFirst();
        }
    }

    private int atATime() {
        return (int) Math.max(MIN_AT_A_TIME, share * placed);
    }

    private int perWindow() {
        return (int) (WINDOW_MULTIPLE * atATime());
    }

    /** Whether all of these moves may be made, in addition to those before. */
    public boolean allows(long now, List<Move> moves, LoadSnapshot load) {
        if (isQuiet(now) || stopping + moves.size() > atATime() || recent.size() + moves.size() > perWindow()) {
            return false;
        }
        return moves.stream().allMatch(move -> allows(now, move, moves, load));
    }

    private boolean allows(long now, Move move, List<Move> together, LoadSnapshot load) {
        if (move.paybackMs() > windowMs || isPayingBack(now, move.task())) {
            return false;
        }
        long ofTeam = count(recent, entry -> entry.move().team().equals(move.team()))
                + together.stream()
                        .filter(other -> other.team().equals(move.team()))
                        .count();
        if (ofTeam > TEAM_SHARE * perWindow()) {
            return false;
        }
        double cpus = together.stream()
                .filter(other -> other.to().equals(move.to()))
                .mapToDouble(Move::cpus)
                .sum();
        return mayReceive(now, move.to(), cpus - move.cpus(), move.cpus(), load);
    }

    /**
     * Whether a task of so many CPUs may be moved to the group, in addition to tasks in transit and {@code plannedCpus} CPUs more. A
     * single task may always go where it fits.
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

    private static long count(Deque<Entry> entries, Predicate<Entry> which) {
        return entries.stream().filter(which).count();
    }

    /** Whether the task's last move hasn't paid back yet. */
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
     * Uncounts moves whose transaction was not applied, and returns those that were. Only to be called when no transaction is
     * under way and none can be applied late.
     *
     * @param isUnchanged whether the stored placement is as it was before the move
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

    /** Moves within the window, oldest first. */
    public List<Move> recent() {
        return recent.stream().map(Entry::move).toList();
    }
}
