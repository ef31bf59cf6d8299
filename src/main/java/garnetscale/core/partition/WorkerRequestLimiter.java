package garnetscale.core.partition;

import garnetscale.core.machine.MachineAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Bounds the direct requests to workers that are in flight; each takes a socket and a good part of a millisecond. After a
 * change of owner every machine is to be probed at once, and a hundred hanging workers answer nothing. Commands may use the
 * whole bound, probes half of it. A probe that exceeds its bound is queued; a command isn't, since the acknowledgement of the
 * machine's next heartbeat carries the same commands.
 */
final class WorkerRequestLimiter {

    private final int max;
    private final Deque<MachineAddress> queuedProbes = new ArrayDeque<>();
    private final Set<String> queuedMachines = new HashSet<>();
    private int commands;
    private int probes;
    private boolean lagging;

    /** Creates a limiter for {@code max} requests in flight, probes and commands together. */
    WorkerRequestLimiter(int max) {
        this.max = max;
    }

    /** Returns whether a command may be sent now; if so, it counts as in flight until {@link #onCommandEnded}. */
    boolean tryStartCommand() {
        if (commands + probes >= max) {
            return false;
        }
        commands++;
        return true;
    }

    /** A command was answered or lost. */
    void onCommandEnded() {
        commands--;
    }

    /** Queues a probe of the machine, unless one is queued already. */
    void enqueueProbe(MachineAddress machine) {
        if (queuedMachines.add(machine.machine())) {
            queuedProbes.add(machine);
        }
    }

    /** Sets whether the process is late with its work; probes then go out one at a time. */
    void setLagging(boolean lagging) {
        this.lagging = lagging;
    }

    private int maxProbes() {
        return lagging ? 1 : Math.max(1, max / 2);
    }

    /** Counts a probe that is sent without having been queued and regardless of the bound; there are few of them. */
    void onUnqueuedProbe() {
        probes++;
    }

    /** A probe was answered or lost. */
    void onProbeEnded() {
        probes--;
    }

    /**
     * Takes the next machine to probe off the queue and counts the probe as in flight. Machines that need no probe any more
     * are dropped from the queue.
     *
     * @param isNeeded whether the machine of this name still needs a probe
     * @return null if nothing is queued or the bound is reached
     */
    MachineAddress nextProbe(Predicate<String> isNeeded) {
        while (!queuedProbes.isEmpty() && probes < maxProbes() && commands + probes < max) {
            MachineAddress machine = queuedProbes.poll();
            queuedMachines.remove(machine.machine());
            if (isNeeded.test(machine.machine())) {
                probes++;
                return machine;
            }
        }
        return null;
    }

    /** Drops all queued probes, as when a partition changes its owner. */
    void clearQueuedProbes() {
        queuedProbes.clear();
        queuedMachines.clear();
    }
}
