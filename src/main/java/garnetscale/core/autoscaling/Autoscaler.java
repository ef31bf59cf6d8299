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
 * Scales the cluster out and in, for the leader. One call to the cloud is under way at a time; the next one is worked out
 * anew from the demand in the replica and from the machines that exist or boot. All times are milliseconds of a steady clock.
 */
public final class Autoscaler {

    private static final long TYPES_INTERVAL_MS = 60_000;
    /** A fifth more than the rate limit's interval, in milliseconds. */
    private static final double SPACING_MS = 1200;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final InstanceList instances;
    private final Offerings offerings;
    private final DemandPlanner demand;
    private final ScaleOutPlanner scaleOutPlanner;
    private final IdleInstances idleInstances;
    private final StuckInstances stuckInstances;
    private long wallOffset;
    private long typesRequestedAt = Times.NEVER;
    private boolean deletedLast;

    /** {@code log} is told each decision, for the operators' log. */
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

    /** A new leader starts from the cloud's instance list; what an earlier one had under way shows there. */
    public void start(long now, long leaderTerm) {
        instances.start(now);
        scaleOutPlanner.start(leaderTerm);
        idleInstances.clear();
        stuckInstances.start(now);
    }

    /** Sets what to add to the steady clock for wall-clock time, in milliseconds. */
    public void setWallClockOffset(long offset) {
        wallOffset = offset;
    }

    /** The time between two calls, so that the cloud never has to refuse one for its rate. */
    public long spacingMs() {
        return Math.round(SPACING_MS / config.cloudRequestsPerS());
    }

    /**
     * The next call to make, or null.
     *
     * @param heartbeating   machines that have sent heartbeats
     * @param decommissioned machines without tasks that are to be deleted
     * @param suspects       jobs that fail wherever they run
     */
    public CloudCall next(
            long now, Collection<MachineStatus> heartbeating, List<String> decommissioned, Set<String> suspects) {
        CloudCall listing = nextListing(now);
        if (listing != null || !instances.everListed()) {
            return listing;
        }
        Map<String, MachineStatus> statuses = new HashMap<>();
        heartbeating.forEach(status -> statuses.put(status.machine(), status));
        List<Capacity> capacity = new ArrayList<>();
        CloudCall call = null;
        // Deletes and launches take turns: a wave of lost machines brings deletes for half a minute, and their
        // replacements can't wait so long.
        if (deletedLast) {
            call = scaleOut(now, statuses, capacity, suspects);
        }
        if (call == null) {
            call = decommissioned.isEmpty() ? stuckInstances.next(now, statuses) : delete(decommissioned);
        }
        if (call == null && !deletedLast) {
            call = scaleOut(now, statuses, capacity, suspects);
        }
        deletedLast = call instanceof CloudCall.ScaleIn;
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

    private static CloudCall delete(List<String> machines) {
        int count = Math.min(machines.size(), CloudCall.ScaleIn.MAX_MACHINES);
        return new CloudCall.ScaleIn(List.copyOf(machines.subList(0, count)));
    }

    /** The next launch, or null; fills {@code capacity} with the machines that exist or boot, and marks those in use. */
    private CloudCall scaleOut(
            long now, Map<String, MachineStatus> statuses, List<Capacity> capacity, Set<String> suspects) {
        stuckInstances.retainSilent(statuses);
        if (replica.types().isEmpty()) {
            return null;
        }
        capacity.addAll(demand.capacity(statuses));
        return scaleOutPlanner.next(now, demand.missing(now, now + wallOffset, capacity, suspects));
    }

    /** The cloud's machine types with their present prices. */
    public void onTypes(List<MachineType> types) {
        offerings.onTypes(types);
    }

    /** A page of the instance list arrived; when there are more, the next call asks for the next one. */
    public void onPage(long now, List<CloudInstance> page, boolean more) {
        for (CloudInstance dropped : instances.onPage(now, page, more)) {
            // Its capacity is free again, however often the offering was refused.
            offerings.admit(new Offering(dropped.type(), dropped.zone(), dropped.spot()));
        }
    }

    /** The cloud's answer to a launch: ids of the new instances, fewer than requested where its capacity is used up. */
    public void onScaledOut(long now, CloudCall.ScaleOut call, List<String> ids) {
        scaleOutPlanner.onScaledOut(now, call, ids);
    }

    /** A launch was refused, or got no answer. */
    public void onRefused(long now, CloudCall.ScaleOut call) {
        scaleOutPlanner.onRefused(now, call);
    }

    /** The cloud confirmed that these machines are deleted. */
    public void onDeleted(List<String> ids) {
        instances.onDeleted(ids);
        idleInstances.onDeleted(ids);
    }

    /** Running machines by the cloud's instance list, with their addresses. */
    public List<MachineAddress> machineDirectory() {
        return instances.addresses();
    }

    /** Machines that left the instance list so long ago that their agents must have stopped all tasks; each is returned once. */
    public List<String> takeVanishedInstances(long now, Collection<MachineStatus> heartbeating) {
        Set<String> reachable = new HashSet<>();
        for (MachineStatus status : heartbeating) {
            if (!status.silent()) {
                reachable.add(status.machine());
            }
        }
        return instances.takeVanished(now, reachable);
    }

    /** Machines that the cloud lists as failed: no task runs there. */
    public List<String> failedInstances() {
        return instances.failed();
    }
}
