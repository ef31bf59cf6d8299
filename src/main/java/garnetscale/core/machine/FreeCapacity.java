package garnetscale.core.machine;

import garnetscale.core.job.JobSpec;

/** What is free on a machine. */
public final class FreeCapacity {

    private double cpus;
    private double gpus;
    private double memoryGb;

    public FreeCapacity(MachineType type) {
        this(type.cpus(), type.gpus(), type.memoryGb());
    }

    private FreeCapacity(double cpus, double gpus, double memoryGb) {
        this.cpus = cpus;
        this.gpus = gpus;
        this.memoryGb = memoryGb;
    }

    public FreeCapacity copy() {
        return new FreeCapacity(cpus, gpus, memoryGb);
    }

    public double cpus() {
        return cpus;
    }

    public void take(JobSpec job) {
        take(job, 1);
    }

    public void giveBack(JobSpec job) {
        take(job, -1);
    }

    public void take(JobSpec job, int tasks) {
        cpus -= tasks * job.cpus();
        gpus -= tasks * job.gpus();
        memoryGb -= tasks * job.memoryGb();
    }

    public boolean fits(JobSpec job) {
        return slots(job) > 0;
    }

    /** How many tasks of the job fit side by side. */
    public int slots(JobSpec job) {
        double n = Integer.MAX_VALUE;
        n = Math.min(n, per(cpus, job.cpus()));
        n = Math.min(n, per(gpus, job.gpus()));
        n = Math.min(n, per(memoryGb, job.memoryGb()));
        return (int) Math.max(0, n);
    }

    private static double per(double free, double each) {
        if (each <= 0) {
            return Integer.MAX_VALUE;
        }
        return Math.floor((free + MachineType.EPSILON) / each);
    }
}
