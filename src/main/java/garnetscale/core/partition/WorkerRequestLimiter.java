package garnetscale.core.partition;

import garnetscale.core.machine.MachineAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The direct requests that a holder has under way to its machines, each of them a socket and a good part of a
 * millisecond. Bounded, since after a change of holder every machine is to be asked at once and a hundred hanging ones
 * answer nothing: commands have the whole bound, questions half of it. A question that finds no room waits its turn; a
 * command doesn't, since the answer to the machine's next report says the same.
 */
final class WorkerRequestLimiter {

    private final int most;
    private final Deque<MachineAddress> waiting = new ArrayDeque<>();
    private final Set<String> waitingFor = new HashSet<>();
    private int commands;
    private int questions;
    private boolean lagging;

    WorkerRequestLimiter(int most) {
        this.most = most;
    }

    /** Whether a command may be sent now; it is under way from now on if so. */
    boolean command() {
        if (commands + questions >= most) {
            return false;
        }
        commands++;
        return true;
    }

    void commandEnded() {
        commands--;
    }

    /** Has a machine asked as soon as there is room. */
    void ask(MachineAddress machine) {
        if (waitingFor.add(machine.machine())) {
            waiting.add(machine);
        }
    }

    /** Whether the process is late with its work, and questions are to go out one at a time. */
    void lagging(boolean late) {
        lagging = late;
    }

    private int mostQuestions() {
        return lagging ? 1 : Math.max(1, most / 2);
    }

    /** A question is under way beside those that wait; there are few of them. */
    void askAside() {
        questions++;
    }

    void questionEnded() {
        questions--;
    }

    /** The next machine to ask now, or null; what needs no question any more falls out. */
    MachineAddress next(Predicate<String> needed) {
        while (!waiting.isEmpty() && questions < mostQuestions() && commands + questions < most) {
            MachineAddress a = waiting.poll();
            waitingFor.remove(a.machine());
            if (needed.test(a.machine())) {
                questions++;
                return a;
            }
        }
        return null;
    }

    /** Forgets what waits, as when the blocks change hands. */
    void clearQuestions() {
        waiting.clear();
        waitingFor.clear();
    }
}
