package garnetscale.core.machine;

import garnetscale.core.job.JobSpec;

/**
 * The free capacity of one machine, a mutable count. An amount falls below zero if more is placed on the machine than fits.
 */
public final class FreeCapacity {

    private double cpus;
    private double gpus;
    private double memoryGb;

    /** Creates the capacity of an empty machine of the type. */
    public FreeCapacity(MachineType type) {
        this(type.cpus(), type.gpus(), type.memoryGb());
    }

    private FreeCapacity(double cpus, double gpus, double memoryGb) {
        this.cpus = cpus;
        this.gpus = gpus;
        this.memoryGb = memoryGb;
    }

    /** Returns a copy that changes independently. */
    public FreeCapacity copy() {
        return new FreeCapacity(cpus, gpus, memoryGb);
    }

    /** Returns the free CPUs. */
    public double cpus() {
        return cpus;
    }

    /** Subtracts the capacity of one task of the job, whether it fits or not. */
    public void take(JobSpec job) {
        take(job, 1);
    }

    /** Adds the capacity of one task of the job. */
    public void release(JobSpec job) {
        take(job, -1);
    }

    /** Subtracts the capacity of {@code tasks} tasks of the job, whether they fit or not. */
    public void take(JobSpec job, int tasks) {
        cpus -= tasks * job.cpus();
        gpus -= tasks * job.gpus();
        memoryGb -= tasks * job.memoryGb();
    }

    /** Whether a task of the job fits. */
    public boolean fits(JobSpec job) {
        return slots(job) > 0;
    }

    /** Returns how many tasks of the job fit at the same time. */
    public int slots(JobSpec job) {
        double slots = Integer.MAX_VALUE;
        slots = Math.min(slots, slots(cpus, job.cpus()));
        slots = Math.min(slots, slots(gpus, job.gpus()));
        slots = Math.min(slots, slots(memoryGb, job.memoryGb()));
        return (int) Math.max(0, slots);
    }

    private static double slots(double free, double perTask) {
        if (perTask <= 0) {
            return Integer.MAX_VALUE;
        }
        return Math.floor((free + MachineType.EPSILON) / perTask);
    }
}
