package garnetscale.core.autoscaling;

import garnetscale.core.partition.MachineStatus;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Scales in machines that the demand hasn't used for a minute plus several boot times. The delay keeps bursts of demand from
 * causing repeated launches and deletes.
 */
final class IdleInstances {

    private static final double IDLE_BASE_S = 60;
    /** Idle time before a machine is deleted, in boot times of its type, in addition to {@link #IDLE_BASE_S}. */
    private static final double IDLE_BOOT_TIMES = 4;
    /**
     * A call deletes up to one machine plus the number of machines divided by this. Deletes are batched, since the cloud accepts
     * few calls per second and a scale-out must not wait behind many deletes.
     */
    private static final int DELETES_PER_CALL_DIVISOR = 64;

    private final Consumer<String> log;
    private final Map<String, Long> idleSince = new HashMap<>();

    IdleInstances(Consumer<String> log) {
        this.log = log;
    }

    void clear() {
        idleSince.clear();
    }

    void onDeleted(List<String> ids) {
        for (String id : ids) {
            idleSince.remove(id);
        }
    }

    /** Returns a call to delete the machines idle longest, or null; {@code capacity} marks the machines that the demand uses. */
    CloudCall next(long now, List<Capacity> capacity, Map<String, MachineStatus> statuses) {
        List<String> idle = new ArrayList<>();
        for (Capacity machine : capacity) {
            if (machine.used || !statuses.containsKey(machine.id)) {
                idleSince.remove(machine.id);
            } else if (now - idleSince.computeIfAbsent(machine.id, id -> now)
                    > 1000 * (IDLE_BASE_S + IDLE_BOOT_TIMES * machine.type.bootS())) {
                idle.add(machine.id);
            }
        }
        if (idle.isEmpty()) {
            return null;
        }
        idle.sort(Comparator.comparing(idleSince::get));
        List<String> chosen =
                List.copyOf(idle.subList(0, Math.min(idle.size(), 1 + statuses.size() / DELETES_PER_CALL_DIVISOR)));
        log.accept("scaling in idle machines, machines=" + String.join(",", chosen));
        return new CloudCall.ScaleIn(chosen);
    }
}
