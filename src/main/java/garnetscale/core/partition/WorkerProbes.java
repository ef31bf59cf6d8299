package garnetscale.core.partition;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.cluster.PartitionMap;
import garnetscale.core.machine.MachineAddress;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Probes workers, that is, requests their status. Two kinds of workers are probed: those whose heartbeats to this controller
 * are missing, for example after a change of owner, and those for which it isn't known yet whether this owner reaches them.
 * While this controller is isolated from workers, machines of its lost partitions are probed.
 */
final class WorkerProbes {

    /** How long an answer to a probe may take; the worker isn't probed again within this time. */
    private static final long PROBE_TIMEOUT_MS = 2000;

    private final SchedulerConfig config;
    private final PartitionMap partitions;
    private final PartitionLeases leases;
    private final Map<String, MachineView> machines;
    private final WorkerRequestLimiter requests;
    private final Reachability reachability;
    private final List<OwnerEffect> effects;
    private final Map<String, MachineAddress> machineDirectory = new TreeMap<>();

    /** {@code machines} is shared; this class adds the machines of the directory that it probes. */
    WorkerProbes(
            SchedulerConfig config,
            PartitionMap partitions,
            PartitionLeases leases,
            Map<String, MachineView> machines,
            WorkerRequestLimiter requests,
            Reachability reachability,
            List<OwnerEffect> effects) {
        this.config = config;
        this.partitions = partitions;
        this.leases = leases;
        this.machines = machines;
        this.requests = requests;
        this.reachability = reachability;
        this.effects = effects;
    }

    /** Replaces the machine directory, the leader's list of all machines. */
    void onMachineDirectory(List<MachineAddress> directory) {
        machineDirectory.clear();
        directory.forEach(machine -> machineDirectory.put(machine.machine(), machine));
    }

    /** Whether the machine directory contains the machine. */
    boolean isInDirectory(String machine) {
        return machineDirectory.containsKey(machine);
    }

    /** Queues probes of the machines in owned partitions that should send heartbeats to this controller and don't. */
    void probeSilentMachines(long now) {
        for (MachineAddress address : machineDirectory.values()) {
            String partition = partitions.partitionOf(address.machine(), address.zone());
            OwnedPartition owned = leases.owned(partition);
            MachineView machine = machines.get(address.machine());
            if (owned == null || machine != null && machine.lastHeartbeat != null && !isSilent(now, machine)) {
                continue;
            }
            if (machine == null) {
                machine = new MachineView(address.machine(), partition, owned.term());
                machines.put(address.machine(), machine);
            }
            if (now - machine.probedAt > Math.max(PROBE_TIMEOUT_MS, config.heartbeatIntervalMs())) {
                machine.probedAt = now;
                requests.enqueueProbe(address);
            }
        }
    }

    /** Probes a worker that sends heartbeats but hasn't answered in this term, to find out whether this owner reaches it. */
    void probeUnlessAnswered(long now, MachineView machine) {
        if (!machine.hasAnswered && now - machine.probedAt > PROBE_TIMEOUT_MS) {
            machine.probedAt = now;
            requests.enqueueProbe(new MachineAddress(
                    machine.id, machine.lastHeartbeat.address(), PartitionMap.zoneOf(machine.partition)));
            sendQueued(now);
        }
    }

    /** Sends the queued probes that the limiter admits. A machine that isn't silent and has answered needs no probe. */
    void sendQueued(long now) {
        for (MachineAddress machine = next(now); machine != null; machine = next(now)) {
            effects.add(new OwnerEffect.ProbeWorker(machine.machine(), machine.address()));
        }
    }

    private MachineAddress next(long now) {
        return requests.nextProbe(id -> {
            MachineView machine = machines.get(id);
            return machine != null && (!machine.hasAnswered || isSilent(now, machine));
        });
    }

    /** Checks whether this process is isolated from workers, and while it is, probes lost machines until one answers. */
    void checkReachability(long now) {
        if (!reachability.isCheckDue(now)) {
            return;
        }
        int expected = 0;
        for (MachineView machine : machines.values()) {
            boolean isExpected = machine.lastHeartbeat != null && machine.tokenSeenAt >= 0 && !isSilent(now, machine);
            expected += isExpected ? 1 : 0;
        }
        reachability.check(now, expected, leases.ownedNames());
        for (String id : reachability.machinesToProbe(
                now,
                machineDirectory.keySet(),
                id -> partitions.partitionOf(id, machineDirectory.get(id).zone()))) {
            effects.add(new OwnerEffect.ProbeWorker(id, machineDirectory.get(id).address()));
            requests.onUnqueuedProbe();
        }
    }

    private boolean isSilent(long now, MachineView machine) {
        return machine.isSilent(now, config.heartbeatIntervalMs());
    }
}
