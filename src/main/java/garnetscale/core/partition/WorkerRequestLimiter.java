package garnetscale.core.partition;

import garnetscale.core.machine.MachineAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Limits the number of direct requests to workers that are in flight. Each takes a socket and a good part of a millisecond of
 * this controller's processor time. The limit matters after a change of owner, when every machine is probed at once, and when
 * a hundred workers hang and don't answer. Commands may use the whole limit, probes half of it. A probe above the limit is
 * queued. A command above the limit isn't sent, since the acknowledgement of the machine's next heartbeat carries the same
 * commands.
 */
final class WorkerRequestLimiter {

    private final int max;
    private final Deque<MachineAddress> queuedProbes = new ArrayDeque<>();
    private final Set<String> queuedMachines = new HashSet<>();
    private int commands;
    private int probes;
    private boolean lagging;

    /** Creates a limiter for at most {@code max} requests in flight, probes and commands together. */
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

    /** Records that a command was answered or lost. */
    void onCommandEnded() {
        commands--;
    }

    /** Queues a probe of the machine, unless one is queued already. */
    void enqueueProbe(MachineAddress machine) {
        if (queuedMachines.add(machine.machine())) {
            queuedProbes.add(machine);
        }
    }

    /** Sets whether this process lags behind its work; probes are then sent one at a time. */
    void setLagging(boolean lagging) {
        this.lagging = lagging;
    }

    private int maxProbes() {
        return lagging ? 1 : Math.max(1, max / 2);
    }

    /** Counts a probe that is sent without having been queued and regardless of the limit; there are few such probes. */
    void onUnqueuedProbe() {
        probes++;
    }

    /** Records that a probe was answered or lost. */
    void onProbeEnded() {
        probes--;
    }

    /**
     * Removes the next machine to probe from the queue and counts the probe as in flight. Machines that no longer need a
     * probe are dropped from the queue.
     *
     * @param isNeeded returns whether the machine with the given name still needs a probe
     * @return the machine, or null if nothing is queued or the limit is reached
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

    /** Drops all queued probes, for example when a partition changes its owner. */
    void clearQueuedProbes() {
        queuedProbes.clear();
        queuedMachines.clear();
    }
}
