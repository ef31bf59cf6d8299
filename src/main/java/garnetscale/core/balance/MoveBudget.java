package garnetscale.core.balance;

import garnetscale.core.job.TaskId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;

/**
 * Limits how much is moved: at a time, within a window, for a team, towards a group, and a task within the time in which its
 * last move pays. What a leader decided isn't stored with the task; instead, a new leader moves nothing for as long as anything
 * that an earlier one did could still count. So every limit holds summed over all leaders, however often they change.
 */
public final class MoveBudget {

    /** The window, and the longest time that a move may take to pay, in leases of a worker. */
    private static final double WINDOW_LEASES = 4;
    /** As many may be under way in a fleet of any size: fewer could never empty a machine of small tasks. */
    private static final int LEAST_AT_A_TIME = 4;
    /** Moves in a window, in multiples of those that may be under way at a time. */
    private static final double WINDOW_MULTIPLE = 4;
    /** The part of a window's moves that may be of one team. */
    private static final double TEAM_SHARE = 0.5;
    /** The part of a group's free CPUs that moved tasks may be on their way to. */
    private static final double DESTINATION_SHARE = 0.5;
    /** How long a moved task is on its way, in leases of a worker; then it is placed again, or room was found for others. */
    private static final double ON_ITS_WAY_LEASES = 1;

    private record Entry(Move move, long at) {}

    private final double share;
    private final long windowMs;
    private final long onItsWayMs;
    private final Deque<Entry> recent = new ArrayDeque<>();
    private final List<Move> unconfirmed = new ArrayList<>();
    private long quietUntil;
    private int placed;
    private int stopping;

    /** {@code moving}: the part of the placed tasks that may be stopping at a time; {@code leaseMs}: of a worker. */
    public MoveBudget(double moving, long leaseMs) {
        share = moving;
        windowMs = Math.round(WINDOW_LEASES * leaseMs);
        onItsWayMs = Math.round(ON_ITS_WAY_LEASES * leaseMs);
    }

    /** A new leadership begins: nothing is known of what an earlier leader moved. */
    public void begin(long now) {
        recent.clear();
        unconfirmed.clear();
        quietUntil = now + windowMs;
    }

    /** Whether this leader may move anything yet. */
    public boolean isQuiet(long now) {
        return now < quietUntil;
    }

    /** A pass begins; {@code stoppingNow} counts the placed tasks that are being stopped, whatever for and by whomever. */
    public void observe(long now, int placedTasks, int stoppingNow) {
        placed = placedTasks;
        stopping = stoppingNow;
        while (!recent.isEmpty() && now - recent.peekFirst().at() >= windowMs) {
            recent.removeFirst();
        }
    }

    private int atATime() {
        return (int) Math.max(LEAST_AT_A_TIME, share * placed);
    }

    private int perWindow() {
        return (int) (WINDOW_MULTIPLE * atATime());
    }

    /** Whether all of these moves may be made, together with those before. */
    public boolean allows(long now, List<Move> moves, LoadSnapshot load) {
        if (isQuiet(now) || stopping + moves.size() > atATime() || recent.size() + moves.size() > perWindow()) {
            return false;
        }
        return moves.stream().allMatch(move -> allows(now, move, moves, load));
    }

    private boolean allows(long now, Move move, List<Move> together, LoadSnapshot load) {
        if (move.paybackMs() > windowMs || isPaying(now, move.task())) {
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
        return hasRoomAt(now, move.to(), cpus - move.cpus(), move.cpus(), load);
    }

    /**
     * Whether a task of so many CPUs may be moved towards the group, beside what is on its way there and {@code planned} CPUs
     * more. A single task may always go where there is room for it.
     */
    boolean hasRoomAt(long now, MachineGroup group, double planned, double cpus, LoadSnapshot load) {
        double onTheirWay = planned;
        for (Entry entry : recent) {
            if (entry.move().to().equals(group) && now - entry.at() < onItsWayMs) {
                onTheirWay += entry.move().cpus();
            }
        }
        return onTheirWay == 0 || onTheirWay + cpus <= DESTINATION_SHARE * load.freeCpus(group);
    }

    private static long count(Deque<Entry> entries, Predicate<Entry> which) {
        return entries.stream().filter(which).count();
    }

    /** Whether the task was moved so lately that this hasn't paid yet. */
    public boolean isPaying(long now, TaskId task) {
        for (Entry entry : recent) {
            if (entry.move().task().equals(task)
                    && now - entry.at() < entry.move().paybackMs()) {
                return true;
            }
        }
        return false;
    }

    /** Counts a move from now on. */
    public void add(long now, Move move) {
        recent.addLast(new Entry(move, now));
        unconfirmed.add(move);
        stopping++;
    }

    /**
     * Takes back moves whose transaction turned out not to have been applied, and returns those that were. Must be asked only
     * when no transaction is under way and none can be applied late.
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
