package garnetscale.core.autoscaling;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.Times;
import garnetscale.core.machine.MachineAddress;
import garnetscale.core.machine.MachineType;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.state.StateReplica;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Scales the cluster out and in on behalf of the leader. Only one call to the cloud is in flight at a time. Each call is computed
 * from scratch, from the demand in the replica and the machines that exist or are booting. All times are milliseconds of a steady
 * clock.
 */
public final class Autoscaler {

    private static final long TYPES_INTERVAL_MS = 60_000;
    /** Milliseconds between calls at a limit of one request per second: a fifth more than the limit requires. */
    private static final double SPACING_MS_AT_1_RPS = 1200;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final InstanceList instances;
    private final Offerings offerings;
    private final DemandPlanner demand;
    private final ScaleOutPlanner scaleOutPlanner;
    private final IdleInstances idleInstances;
    private final StuckInstances stuckInstances;
    private long wallClockOffsetMs;
    private long typesRequestedAt = Times.NEVER;
    private boolean wasLastCallDelete;

    /** Creates an autoscaler; {@code log} receives a line for each decision, for the operators' log. */
    public Autoscaler(SchedulerConfig config, StateReplica replica, Consumer<String> log) {
        this.config = config;
        this.replica = replica;
        instances = new InstanceList(config);
        offerings = new Offerings(spacingMs());
        demand = new DemandPlanner(config, replica, instances, offerings);
        scaleOutPlanner = new ScaleOutPlanner(instances, offerings, spacingMs(), log);
        idleInstances = new IdleInstances(log);
        stuckInstances = new StuckInstances(config, replica, instances, offerings, log);
    }

    /** Starts a leader's term with the cloud's instance list, which shows the launches that an earlier leader had in flight. */
    public void start(long now, long leaderTerm) {
        instances.start(now);
        scaleOutPlanner.start(leaderTerm);
        idleInstances.clear();
        stuckInstances.start(now);
    }

    /** Sets the milliseconds to add to the steady clock's time to get wall-clock time. */
    public void setWallClockOffset(long offsetMs) {
        wallClockOffsetMs = offsetMs;
    }

    /** Returns the milliseconds between two calls that keep the cloud from refusing a call for its rate. */
    public long spacingMs() {
        return Math.round(SPACING_MS_AT_1_RPS / config.cloudRequestsPerS());
    }

    /**
     * Returns the next call to make, or null if there is none.
     *
     * @param heartbeating statuses of the machines that have sent a heartbeat, including those that are silent now
     * @param decommissioned ids of machines without tasks that are to be deleted
     * @param quarantinedJobs ids of the quarantined jobs, which fail on every machine
     */
    public CloudCall next(
            long now,
            Collection<MachineStatus> heartbeating,
            List<String> decommissioned,
            Set<String> quarantinedJobs) {
        CloudCall listing = nextListing(now);
        if (listing != null || !instances.hasCompleteList()) {
            return listing;
        }
        Map<String, MachineStatus> statuses = new HashMap<>();
        heartbeating.forEach(status -> statuses.put(status.machine(), status));
        List<Capacity> capacity = new ArrayList<>();
        CloudCall call = null;
        // Deletes and launches alternate: a wave of lost machines causes deletes for half a minute, and the launch of
        // replacements can't wait that long.
        if (wasLastCallDelete) {
            call = nextScaleOut(now, statuses, capacity, quarantinedJobs);
        }
        if (call == null) {
            call = decommissioned.isEmpty() ? stuckInstances.next(now, statuses) : scaleIn(decommissioned);
        }
        if (call == null && !wasLastCallDelete) {
            call = nextScaleOut(now, statuses, capacity, quarantinedJobs);
        }
        wasLastCallDelete = call instanceof CloudCall.ScaleIn;
        return call != null || capacity.isEmpty() ? call : idleInstances.next(now, capacity, statuses);
    }

    private CloudCall nextListing(long now) {
        CloudCall page = instances.nextPageRequest();
        if (page != null) {
            return page;
        }
        if (offerings.isEmpty() || now - typesRequestedAt > TYPES_INTERVAL_MS) {
            typesRequestedAt = now;
            return new CloudCall.ListTypes();
        }
        return instances.isListDue(now) ? instances.listRequest(now) : null;
    }

    private static CloudCall scaleIn(List<String> machines) {
        int count = Math.min(machines.size(), CloudCall.ScaleIn.MAX_MACHINES);
        return new CloudCall.ScaleIn(List.copyOf(machines.subList(0, count)));
    }

    /** Returns the next launch, or null. Fills {@code capacity} with existing and booting machines, and marks those in use. */
    private CloudCall nextScaleOut(
            long now, Map<String, MachineStatus> statuses, List<Capacity> capacity, Set<String> quarantinedJobs) {
        stuckInstances.retainSilent(statuses);
        if (replica.types().isEmpty()) {
            return null;
        }
        capacity.addAll(demand.capacity(statuses));
        return scaleOutPlanner.next(now, demand.missing(now, now + wallClockOffsetMs, capacity, quarantinedJobs));
    }

    /** Receives the cloud's machine types with their current prices. */
    public void onTypes(List<MachineType> types) {
        offerings.onTypes(types);
    }

    /** Receives a page of the instance list; if there are more pages, the next call requests the next page. */
    public void onPage(long now, List<CloudInstance> page, boolean hasMore) {
        for (CloudInstance dropped : instances.onPage(now, page, hasMore)) {
            // The instance's capacity is free again, however often the offering was refused.
            offerings.endBackoff(new Offering(dropped.type(), dropped.zone(), dropped.spot()));
        }
    }

    /** Receives the ids of launched instances, which are fewer than requested if the cloud's capacity is exhausted. */
    public void onScaledOut(long now, CloudCall.ScaleOut call, List<String> ids) {
        scaleOutPlanner.onScaledOut(now, call, ids);
    }

    /** Receives the failure of a launch that was refused or got no answer. */
    public void onRefused(long now, CloudCall.ScaleOut call) {
        scaleOutPlanner.onRefused(now, call);
    }

    /** Receives the cloud's confirmation that these machines are deleted. */
    public void onDeleted(List<String> ids) {
        instances.onDeleted(ids);
        idleInstances.onDeleted(ids);
    }

    /** Returns the machines that are running according to the cloud's instance list, with their addresses. */
    public List<MachineAddress> machineDirectory() {
        return instances.addresses();
    }

    /**
     * Returns machines that are silent and left the instance list so long ago that their agents must have stopped all tasks. Each
     * machine is returned only once.
     */
    public List<String> takeVanishedInstances(long now, Collection<MachineStatus> heartbeating) {
        Set<String> reachable = new HashSet<>();
        for (MachineStatus status : heartbeating) {
            if (!status.silent()) {
                reachable.add(status.machine());
            }
        }
        return instances.takeVanished(now, reachable);
    }

    /** Returns the machines that the cloud lists as failed; no task runs on them. */
    public List<String> failedInstances() {
        return instances.failed();
    }
}
