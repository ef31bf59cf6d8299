package garnetscale.core.sim;

import garnetscale.core.job.JobSpec;
import garnetscale.core.queue.JobQueue;
import garnetscale.emulator.WorkerModel;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Checks from outside that no job is left waiting (hunt's LATER.md): "Once the troubles are over, no job is left waiting for 90 s
 * while a machine that fits has room and its team is under its limit." A job waits while none of its tasks is on a machine, as long
 * as PROTOCOL calls it {@code pending}. A machine has room, too, if it is occupied but for moments.
 */
final class LeftWaitingRule {

    /** Time for which a job may wait beside a machine with room. */
    static final long MAX_WAIT_MS = 90_000;
    /** Share of the checks for which a machine may be occupied and still counts as having room. */
    private static final double OCCUPIED_MOMENTS_SHARE = 0.1;

    /** A time for which a job waits and one machine that fits has room but for moments. */
    private static final class Spell {
        final long since;
        int checks;
        int checksWithRoom;

        Spell(long since) {
            this.since = since;
        }

        void count(boolean hasRoom) {
            checks++;
            checksWithRoom += hasRoom ? 1 : 0;
        }

        boolean hasRoomButForMoments() {
            return checksWithRoom >= (1 - OCCUPIED_MOMENTS_SHARE) * checks;
        }
    }

    /** Spells by machine, by job. */
    private final Map<String, Map<String, Spell>> spells = new HashMap<>();

    /** Forgets how long the jobs have waited: a trouble isn't over yet. */
    void onTrouble() {
        spells.clear();
    }

    /** Forgets how long the job has waited: it doesn't wait, or has an excuse. */
    void onNotWaiting(String job) {
        spells.remove(job);
    }

    /**
     * Checks a job that waits although its team is under its limit.
     *
     * @param machines machines that are up and have no eviction notice
     * @return the machine beside which the job has waited for too long, or null if there is none
     */
    String onWaiting(long now, JobSpec job, List<WorkerModel> machines, Function<WorkerModel, String> zoneOf) {
        Map<String, Spell> byMachine = spells.computeIfAbsent(job.id(), id -> new HashMap<>());
        byMachine.keySet().removeIf(id -> machines.stream()
                .noneMatch(machine -> machine.id().equals(id)));
        for (WorkerModel machine : machines) {
            if (!JobQueue.allows(machine.type(), zoneOf.apply(machine), false, job)) {
                continue;
            }
            boolean hasRoom = machine.freeCapacity().fits(job);
            if (hasRoom) {
                byMachine.computeIfAbsent(machine.id(), id -> new Spell(now));
            }
            Spell spell = byMachine.get(machine.id());
            if (spell == null) {
                continue;
            }
            spell.count(hasRoom);
            if (!spell.hasRoomButForMoments()) {
                byMachine.remove(machine.id());
            } else if (now - spell.since >= MAX_WAIT_MS) {
                byMachine.clear();
                return machine.id();
            }
        }
        return null;
    }
}
