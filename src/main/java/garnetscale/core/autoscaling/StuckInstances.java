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

/**
 * Deletes instances that failed, never finish booting or stay silent. The cloud's answer proves that their tasks have terminated.
 */
final class StuckInstances {

    /**
     * A boot is given up after this many times the type's usual boot time, since a healthy boot may take several times as long as
     * usual.
     */
    private static final double BOOT_RATIO = 4;

    private static final double BOOT_SLACK_S = 10;
    /** Assumed boot time in seconds of a type that is no longer offered. */
    private static final double DEFAULT_BOOT_S = 60;
    /** Up to this many machines that are silent at once are taken for separate failures, not for a network partition. */
    private static final int MAX_SEPARATE_FAILURES = 2;
    /** In a large cluster that bound is the number of machines divided by this instead. */
    private static final int SEPARATE_FAILURES_DIVISOR = 8;

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

    /** Starts a leader's term: a new leader waits for a worker lease before it considers a machine silent. */
    void start(long now) {
        startedAt = now;
    }

    /** Forgets the silence of machines that send heartbeats again. */
    void retainSilent(Map<String, MachineStatus> statuses) {
        silentSince
                .keySet()
                .removeIf(id -> statuses.get(id) != null && !statuses.get(id).silent());
    }

    /** Returns the next delete, or null; {@code statuses} are those of the machines that have sent heartbeats, by id. */
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

    /** Counts silent machines, including running instances that never sent a heartbeat, since heartbeats may have been lost. */
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
        return isSilent(status) && isPermanentlySilent(now, instance.id(), statuses.size(), silentMachines);
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
     * Returns whether a silent machine is to be deleted. A machine with placements is deleted once it has been silent for a
     * quarter of a worker lease: the answer to the delete proves that its tasks have terminated, which waiting would prove only
     * later. This doesn't apply when many machines are silent at once: the cause is then more likely a network partition, after
     * which they are reachable again. In all other cases, a machine is deleted once it has been silent for the fencing delay plus
     * two worker leases.
     */
    private boolean isPermanentlySilent(long now, String id, int machines, long silentMachines) {
        if (now - startedAt <= config.workerLeaseMs()) {
            return false;
        }
        long silentMs = now - silentSince.computeIfAbsent(id, key -> now);
        boolean areSeparateFailures =
                silentMachines <= Math.max(MAX_SEPARATE_FAILURES, machines / SEPARATE_FAILURES_DIVISOR);
        boolean isPermanent = silentMs > config.fencingDelayMs() + 2 * config.workerLeaseMs()
                || areSeparateFailures && !replica.placements(id).isEmpty() && silentMs > config.workerLeaseMs() / 4;
        if (isPermanent) {
            log.accept("deleting silent machine, machine=" + id + " silent_ms=" + silentMs);
        }
        return isPermanent;
    }
}
