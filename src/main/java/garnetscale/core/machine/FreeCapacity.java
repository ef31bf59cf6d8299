package garnetscale.core.machine;

import garnetscale.core.job.JobSpec;

/** The free capacity of one machine, to be counted down and up. It may fall below zero where more is placed than fits. */
public final class FreeCapacity {

    private double cpus;
    private double gpus;
    private double memoryGb;

    /** The capacity of an empty machine of the type. */
    public FreeCapacity(MachineType type) {
        this(type.cpus(), type.gpus(), type.memoryGb());
    }

    private FreeCapacity(double cpus, double gpus, double memoryGb) {
        this.cpus = cpus;
        this.gpus = gpus;
        this.memoryGb = memoryGb;
    }

    /** A copy that changes independently. */
    public FreeCapacity copy() {
        return new FreeCapacity(cpus, gpus, memoryGb);
    }

    /** Free CPUs. */
    public double cpus() {
        return cpus;
    }

    /** Takes the capacity of one task of the job, whether it fits or not. */
    public void take(JobSpec job) {
        take(job, 1);
    }

    /** Gives back the capacity of one task of the job. */
    public void release(JobSpec job) {
        take(job, -1);
    }

    /** Takes the capacity of so many tasks of the job, whether they fit or not. */
    public void take(JobSpec job, int tasks) {
        cpus -= tasks * job.cpus();
        gpus -= tasks * job.gpus();
        memoryGb -= tasks * job.memoryGb();
    }

    /** Whether a task of the job fits. */
    public boolean fits(JobSpec job) {
        return slots(job) > 0;
    }

    /** How many tasks of the job fit side by side. */
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
