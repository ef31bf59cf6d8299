package garnetscale.core.autoscaling;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.machine.MachineType;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.state.StateReplica;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Deletes instances that failed, never finish booting, or stay silent; the answer proves that their tasks are terminated. */
final class StuckInstances {

    /** A boot that takes this many times its usual length is given up; healthy ones may take several times as long. */
    private static final double BOOT_RATIO = 4;

    private static final double BOOT_SLACK_S = 10;
    /** The usual boot time of a type that isn't offered any more. */
    private static final double DEFAULT_BOOT_S = 60;
    /** So many silent machines at once don't point to the network yet. */
    private static final int FEW_SILENT = 2;
    /** Nor does one in so many. */
    private static final int FEW_SILENT_PART = 8;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final InstanceList instances;
    private final Offerings offerings;
    private final Consumer<String> log;
    private final Map<String, Long> silentSince = new HashMap<>();
    private long startedAt;

    StuckInstances(
            SchedulerConfig config,
            StateReplica replica,
            InstanceList instances,
            Offerings offerings,
            Consumer<String> log) {
        this.config = config;
        this.replica = replica;
        this.instances = instances;
        this.offerings = offerings;
        this.log = log;
    }

    /** A new leader waits for a lease until it takes a machine for silent. */
    void start(long now) {
        startedAt = now;
    }

    /** Forgets how long those machines were silent that send heartbeats again. */
    void retainSilent(Map<String, MachineStatus> statuses) {
        silentSince
                .keySet()
                .removeIf(id -> statuses.get(id) != null && !statuses.get(id).silent());
    }

    /** The next instances to delete, or null; {@code statuses} are those of machines that have sent heartbeats, by id. */
    CloudCall next(long now, Map<String, MachineStatus> statuses) {
        long silentMachines = countSilent(statuses);
        List<String> ids = new ArrayList<>();
        for (CloudInstance instance : instances.listed()) {
            if (isStuck(now, instance, statuses, silentMachines)) {
                ids.add(instance.id());
            }
        }
        for (String id : replica.machinesWithRecords()) {
            if (!replica.placements(id).isEmpty() && isSilent(statuses.get(id)) && instances.isUnlisted(now, id)) {
                log.accept(
                        "deleting silent machine that left the instance list, to prove its tasks terminated, machine="
                                + id);
                ids.add(id);
            }
        }
        ids.removeIf(instances::isDeleted);
        if (ids.size() > CloudCall.ScaleIn.MAX_MACHINES) {
            ids = ids.subList(0, CloudCall.ScaleIn.MAX_MACHINES);
        }
        return ids.isEmpty() ? null : new CloudCall.ScaleIn(List.copyOf(ids));
    }

    /** Running instances that never sent a heartbeat count, too: it may be the heartbeats that are lost. */
    private long countSilent(Map<String, MachineStatus> statuses) {
        return statuses.values().stream().filter(MachineStatus::silent).count()
                + instances.listed().stream()
                        .filter(instance ->
                                instance.state() == CloudInstance.State.RUNNING && !statuses.containsKey(instance.id()))
                        .count();
    }

    private boolean isStuck(
            long now, CloudInstance instance, Map<String, MachineStatus> statuses, long silentMachines) {
        if (instance.state() == CloudInstance.State.FAILED) {
            return true;
        }
        MachineStatus status = statuses.get(instance.id());
        if (instance.state() == CloudInstance.State.BOOTING) {
            return status == null && isBootStuck(now, instance);
        }
        return isSilent(status) && isSilentForGood(now, instance.id(), statuses.size(), silentMachines);
    }

    private boolean isBootStuck(long now, CloudInstance instance) {
        MachineType type = offerings.type(instance.type());
        double bootS = type == null ? DEFAULT_BOOT_S : type.bootS();
        double ageS = instances.ageS(now, instance);
        if (ageS <= BOOT_RATIO * bootS + BOOT_SLACK_S) {
            return false;
        }
        log.accept("deleting machine that doesn't finish booting, machine=" + instance.id() + " age_s="
                + Math.round(ageS));
        return true;
    }

    private static boolean isSilent(MachineStatus status) {
        return status == null || status.silent();
    }

    /**
     * Whether a silent machine is to be deleted. One with placements is, once it was silent for a quarter of its lease: the
     * answer to the delete proves its tasks terminated, which waiting would prove only later. Not when many machines are
     * silent at once: that is rather a network partition, and they will be reachable again.
     */
    private boolean isSilentForGood(long now, String id, int machines, long silentMachines) {
        if (now - startedAt <= config.workerLeaseMs()) {
            return false;
        }
        long silentMs = now - silentSince.computeIfAbsent(id, key -> now);
        boolean few = silentMachines <= Math.max(FEW_SILENT, machines / FEW_SILENT_PART);
        boolean forGood = silentMs > config.fencingDelayMs() + 2 * config.workerLeaseMs()
                || few && !replica.placements(id).isEmpty() && silentMs > config.workerLeaseMs() / 4;
        if (forGood) {
            log.accept("deleting silent machine, machine=" + id + " silent_ms=" + silentMs);
        }
        return forGood;
    }
}
