package garnetscale.core.bidding;

import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.MachineType;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates run times: the job owner's estimate, corrected by what was learned from tasks that completed. There is a factor for
 * each class of jobs, since owners err alike, and one for each machine, since a faulty one can be much slower.
 *
 * <p>Tasks of a job differ by half and more, and the first to finish are its shortest. So a machine is not evaluated by single
 * tasks but by all that it does: the time that its tasks took and have run so far, against the time that was expected of them.
 */
public final class Estimator {

    /** Weight of a new sample; the last handful of tasks decide. */
    private static final double SAMPLE_WEIGHT = 0.2;
    /** Bound of all factors, and its inverse the lower one. */
    private static final double MAX_FACTOR = 8;
    /** Completed tasks of a job before what they took is believed rather than the job's owner. */
    private static final int MIN_COMPLETED_TASKS = 4;
    /** Machines that differ by less count as alike: following such differences sends tasks past cached images. */
    private static final double MIN_RELEVANT_FACTOR = 1.5;
    /** Tasks' worth of evidence before a machine is evaluated. */
    private static final double MIN_EVIDENCE_TASKS = 4;
    /** Jobs whose run times are remembered, the latest. */
    private static final int MAX_JOBS = 512;
    /**
     * How long a spot instance is expected to last, in seconds: pessimistic on quiet days, since evictions come in waves.
     */
    private static final double SPOT_LIFETIME_S = 1800;

    /** What a machine's tasks took and were expected to take, in seconds, and how many they were; old ones fade. */
    private static final class MachineHistory {
        double tookS;
        double expectedS;
        double tasks;
        double factor = 1;
    }

    /** What a job's completed tasks took. */
    private static final class JobHistory {
        double sumOfLogs;
        double tasks;
    }

    /**
     * A task that is running.
     *
     * @param job its job
     * @param ranS seconds that it has run so far
     */
    public record TaskProgress(JobSpec job, double ranS) {}

    private final double slackS;
    private final Map<String, Double> factorByClass = new HashMap<>();
    private final Map<String, MachineHistory> machines = new HashMap<>();
    private final Map<String, JobHistory> jobs = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobHistory> eldest) {
            return size() > MAX_JOBS;
        }
    };

    /** Run times are observed through heartbeats; {@code heartbeatIntervalMs} is how far apart these are. */
    public Estimator(long heartbeatIntervalMs) {
        slackS = heartbeatIntervalMs / 1000.0;
    }

    /** Learns that a task of the job ran to completion on the machine in so many seconds. */
    public void onTaskCompleted(JobSpec job, String machine, double ranS) {
        if (job.estimateS() <= 0 || ranS <= 0) {
            return;
        }
        MachineHistory history = machines.computeIfAbsent(machine, key -> new MachineHistory());
        history.tookS = history.tookS * (1 - SAMPLE_WEIGHT) + ranS;
        history.expectedS = history.expectedS * (1 - SAMPLE_WEIGHT) + expectedS(job) + slackS;
        history.tasks = history.tasks * (1 - SAMPLE_WEIGHT) + 1;
        double classFactor = factorByClass.getOrDefault(job.jobClass(), 1.0);
        double correction = Math.pow(clamp(ranS / job.estimateS()) / classFactor, SAMPLE_WEIGHT);
        factorByClass.put(job.jobClass(), clamp(classFactor * correction));
        JobHistory jobHistory = jobs.computeIfAbsent(job.id(), key -> new JobHistory());
        jobHistory.sumOfLogs += Math.log(ranS);
        jobHistory.tasks++;
    }

    /** Evaluates a machine's speed by what it completed and what runs on it now. */
    public void evaluate(String machine, Iterable<TaskProgress> running) {
        MachineHistory history = machines.computeIfAbsent(machine, key -> new MachineHistory());
        double tookS = history.tookS;
        double expectedS = history.expectedS;
        double tasks = history.tasks;
        for (TaskProgress task : running) {
            double taskExpectedS = expectedS(task.job()) + slackS;
            tookS += task.ranS();
            expectedS += Math.min(task.ranS(), taskExpectedS);
            tasks += Math.min(1, task.ranS() / taskExpectedS);
        }
        history.factor = tasks < MIN_EVIDENCE_TASKS || expectedS <= 0 ? 1 : clamp(tookS / expectedS);
    }

    private double expectedS(JobSpec job) {
        JobHistory history = jobs.get(job.id());
        return history == null || history.tasks < MIN_COMPLETED_TASKS
                ? job.estimateS() * factorByClass.getOrDefault(job.jobClass(), 1.0)
                : Math.exp(history.sumOfLogs / history.tasks);
    }

    /** The estimated run time of a task of the job, in seconds, on a machine of usual speed. */
    public double runTimeS(JobSpec job) {
        return expectedS(job);
    }

    /** The estimated run time of a task of the job on the machine, in seconds. */
    public double runTimeS(JobSpec job, String machine) {
        return runTimeS(job, machineFactor(machine));
    }

    /** The same for a machine whose factor is known, so that many jobs and machines take one look-up each. */
    double runTimeS(JobSpec job, double machineFactor) {
        return expectedS(job) * machineFactor;
    }

    /** Seconds that a task which has run for so long will still take; one that is late takes a while yet. */
    public double remainingS(JobSpec job, String machine, double ranS) {
        return Math.max(runTimeS(job, machine) - ranS, ranS / 4);
    }

    /**
     * What a spot instance costs a task on average, in seconds: the chance that it is evicted meanwhile, times the work that is
     * lost then. Small for short tasks and for those that write checkpoints, and so enough to send long ones without
     * checkpoints to ordinary machines while those have capacity.
     */
    static double spotRiskS(JobSpec job, double runS) {
        double atRiskS = job.writesCheckpoints() ? Math.min(runS, job.checkpointS()) : runS;
        return runS / SPOT_LIFETIME_S * (atRiskS / 2 + runS / 4);
    }

    /** Seconds to fetch the job's image on a machine of the type; 0 if its rate isn't known. */
    static double fetchS(JobSpec job, MachineType type) {
        return type.fetchGbPerS() <= 0 ? 0 : job.imageGb() / type.fetchGbPerS();
    }

    /** How much longer than expected the machine takes, 1 for any that is about as fast as the others. */
    public double machineFactor(String machine) {
        MachineHistory history = machines.get(machine);
        return history == null || history.factor < MIN_RELEVANT_FACTOR ? 1 : history.factor;
    }

    private static double clamp(double factor) {
        return Math.min(MAX_FACTOR, Math.max(1 / MAX_FACTOR, factor));
    }
}
