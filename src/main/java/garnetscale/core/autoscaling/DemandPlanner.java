package garnetscale.core.autoscaling;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.queue.JobOrder;
import garnetscale.core.queue.JobQueue;
import garnetscale.core.quota.QuotaUsage;
import garnetscale.core.state.FreeCapacityCache;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Packs the demand onto the capacity that exists or is booting, and counts the instances that are missing for the rest. */
final class DemandPlanner {

    /** Tasks for which to keep capacity free, as a ratio to placed tasks, so that new jobs don't wait for a boot. */
    private static final double HEADROOM = 0.5;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final InstanceList instances;
    private final Offerings offerings;
    private final JobOrder order;
    private final FreeCapacityCache freeCapacity;

    DemandPlanner(SchedulerConfig config, StateReplica replica, InstanceList instances, Offerings offerings) {
        this.config = config;
        this.replica = replica;
        this.instances = instances;
        this.offerings = offerings;
        this.order = new JobOrder(config);
        this.freeCapacity = new FreeCapacityCache(replica);
    }

    /** Returns the machines that take tasks, with the resources that placements leave free, then the booting instances. */
    List<Capacity> capacity(Map<String, MachineStatus> statuses) {
        List<Capacity> capacity = new ArrayList<>();
        for (MachineStatus status : statuses.values()) {
            MachineType type = replica.type(status.type());
            if (type != null && !status.silent() && status.evictionNoticeS() == null) {
                String id = status.machine();
                FreeCapacity free = freeCapacity.of(id, type).copy();
                Capacity machine = new Capacity(id, type, status.zone(), status.spot(), free);
                machine.used = !replica.placements(id).isEmpty();
                capacity.add(machine);
            }
        }
        for (CloudInstance instance : instances.listed()) {
            addBooting(instance, statuses, capacity);
        }
        for (CloudInstance instance : instances.launched()) {
            addBooting(instance, statuses, capacity);
        }
        return capacity;
    }

    private void addBooting(CloudInstance instance, Map<String, MachineStatus> statuses, List<Capacity> capacity) {
        MachineType type = replica.type(instance.type());
        if (type != null && instance.state() != CloudInstance.State.FAILED && !statuses.containsKey(instance.id())) {
            Capacity booting =
                    new Capacity(instance.id(), type, instance.zone(), instance.spot(), new FreeCapacity(type));
            booting.used = true;
            capacity.add(booting);
        }
    }

    /**
     * Returns the numbers of instances to launch, by offering, in the order in which the demand needs them. Marks the machines in
     * {@code capacity} that the demand uses. Waiting tasks are packed first, in queue order and within quotas, then the headroom.
     *
     * @param wallClockMs wall-clock time in milliseconds, which the order of jobs depends on
     * @param quarantinedJobs ids of the quarantined jobs, which fail on every machine; each counts as one task at most
     */
    Map<Offering, Integer> missing(long now, long wallClockMs, List<Capacity> capacity, Set<String> quarantinedJobs) {
        QuotaUsage quota = QuotaUsage.of(config, replica);
        List<Capacity> open = new ArrayList<>(capacity);
        double smallestCpus = smallestTaskCpus();
        Map<Offering, Integer> missing = new LinkedHashMap<>();
        for (JobView job : JobQueue.sort(replica.jobs(), order, wallClockMs)) {
            int tasks = takeQuota(job, quarantinedJobs, quota);
            open.removeIf(machine -> machine.isFull(smallestCpus));
            cover(now, job.spec(), tasks, open, missing);
        }
        for (JobView job : replica.jobs()) {
            if (job.isLive()) {
                int tasks = (int) Math.ceil(HEADROOM * job.placedCount());
                open.removeIf(machine -> machine.isFull(smallestCpus));
                cover(now, job.spec(), tasks, open, missing);
            }
        }
        return missing;
    }

    private double smallestTaskCpus() {
        return replica.jobs().stream()
                .filter(JobView::isLive)
                .mapToDouble(job -> job.spec().cpus())
                .min()
                .orElse(0);
    }

    private static int takeQuota(JobView job, Set<String> quarantinedJobs, QuotaUsage quota) {
        int limit =
                quarantinedJobs.contains(job.spec().id()) ? Math.min(1, job.unstartedCount()) : job.unstartedCount();
        int tasks = quota.allowedTasks(job.spec(), limit);
        quota.add(job.spec(), tasks);
        return tasks;
    }

    /** Packs tasks onto open capacity, and plans instances for the tasks that don't fit there. */
    private void cover(long now, JobSpec job, int tasks, List<Capacity> open, Map<Offering, Integer> missing) {
        int left = tasks;
        for (int i = 0; i < open.size() && left > 0; i++) {
            left -= open.get(i).fill(job, left);
        }
        while (left > 0) {
            Offering best = offerings.cheapest(now, job, left);
            if (best == null || missing.getOrDefault(best, 0) >= ScaleOutPlanner.MAX_INSTANCES_PER_CALL) {
                return;
            }
            missing.merge(best, 1, Integer::sum);
            MachineType type = offerings.type(best.type());
            Capacity planned = new Capacity("", type, best.zone(), best.spot(), new FreeCapacity(type));
            open.add(planned);
            left -= planned.fill(job, left);
        }
    }
}
