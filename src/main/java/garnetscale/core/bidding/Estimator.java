package garnetscale.core.bidding;

import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.MachineType;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates run times: corrects the user's estimate by the run times of completed tasks. There is one factor for each class of
 * jobs, since the estimates in a class err alike, and one for each machine, since a faulty machine can be much slower.
 *
 * <p>Run times of a job's tasks differ by half or more, and the first tasks to complete are the shortest. So a machine is
 * evaluated by all of its tasks together: the time that they have run, whether complete or not, is compared with the time that
 * was expected.
 */
public final class Estimator {

    /** Weight of a new sample. At this weight, the last handful of tasks dominate. */
    private static final double SAMPLE_WEIGHT = 0.2;
    /** Upper bound of all factors; its inverse is the lower bound. */
    private static final double MAX_FACTOR = 8;
    /** Number of completed tasks after which a job's observed run times replace the user's estimate. */
    private static final int MIN_COMPLETED_TASKS = 4;
    /** A smaller factor counts as 1: preferring slightly faster machines would send tasks away from cached images. */
    private static final double MIN_RELEVANT_FACTOR = 1.5;
    /**
     * Minimum number of tasks for a machine's factor to differ from 1. A running task counts as the share of its expected run
     * time that has elapsed, at most 1.
     */
    private static final double MIN_EVIDENCE_TASKS = 4;
    /** Number of jobs whose run times are remembered; the oldest is dropped first. */
    private static final int MAX_REMEMBERED_JOBS = 512;
    /** Expected lifetime of a spot instance in seconds. Pessimistic on quiet days, since evictions come in waves. */
    private static final double SPOT_LIFETIME_S = 1800;

    /**
     * A machine's completed tasks: the sums of their actual and expected run times in seconds, and their number. Older tasks have
     * less weight in all three.
     */
    private static final class MachineHistory {
        double actualSumS;
        double expectedSumS;
        double tasks;
        double factor = 1;
    }

    /** A job's completed tasks: the sum of the logarithms of their run times in seconds, and their number. */
    private static final class JobHistory {
        double sumOfLogs;
        double tasks;
    }

    /**
     * A task that is running.
     *
     * @param job the task's job
     * @param elapsedS seconds that the task has run so far
     */
    public record TaskProgress(JobSpec job, double elapsedS) {}

    /** Seconds added to each expected run time, since run times are observed only at heartbeats. */
    private final double slackS;

    private final Map<String, Double> factorByClass = new HashMap<>();
    private final Map<String, MachineHistory> machines = new HashMap<>();
    private final Map<String, JobHistory> jobs = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobHistory> eldest) {
            return size() > MAX_REMEMBERED_JOBS;
        }
    };

    /** Creates an estimator; {@code heartbeatIntervalMs} is the time between the heartbeats from which run times are observed. */
    public Estimator(long heartbeatIntervalMs) {
        slackS = heartbeatIntervalMs / 1000.0;
    }

    /** Records that a task of the job completed on the machine after a run of {@code actualS} seconds. */
    public void onTaskCompleted(JobSpec job, String machine, double actualS) {
        if (job.estimateS() <= 0 || actualS <= 0) {
            return;
        }
        MachineHistory history = machines.computeIfAbsent(machine, key -> new MachineHistory());
        history.actualSumS = history.actualSumS * (1 - SAMPLE_WEIGHT) + actualS;
        history.expectedSumS = history.expectedSumS * (1 - SAMPLE_WEIGHT) + expectedS(job) + slackS;
        history.tasks = history.tasks * (1 - SAMPLE_WEIGHT) + 1;
        double classFactor = factorByClass.getOrDefault(job.jobClass(), 1.0);
        double correction = Math.pow(clamp(actualS / job.estimateS()) / classFactor, SAMPLE_WEIGHT);
        factorByClass.put(job.jobClass(), clamp(classFactor * correction));
        JobHistory jobHistory = jobs.computeIfAbsent(job.id(), key -> new JobHistory());
        jobHistory.sumOfLogs += Math.log(actualS);
        jobHistory.tasks++;
    }

    /** Updates a machine's factor from the tasks that it completed and those that run on it now. */
    public void evaluate(String machine, Iterable<TaskProgress> running) {
        MachineHistory history = machines.computeIfAbsent(machine, key -> new MachineHistory());
        double actualSumS = history.actualSumS;
        double expectedSumS = history.expectedSumS;
        double tasks = history.tasks;
        for (TaskProgress task : running) {
            double taskExpectedS = expectedS(task.job()) + slackS;
            actualSumS += task.elapsedS();
            expectedSumS += Math.min(task.elapsedS(), taskExpectedS);
            tasks += Math.min(1, task.elapsedS() / taskExpectedS);
        }
        history.factor = tasks < MIN_EVIDENCE_TASKS || expectedSumS <= 0 ? 1 : clamp(actualSumS / expectedSumS);
    }

    private double expectedS(JobSpec job) {
        JobHistory history = jobs.get(job.id());
        return history == null || history.tasks < MIN_COMPLETED_TASKS
                ? job.estimateS() * factorByClass.getOrDefault(job.jobClass(), 1.0)
                : Math.exp(history.sumOfLogs / history.tasks);
    }

    /** Returns the estimated run time in seconds of a task of the job on a machine of normal speed. */
    public double runTimeS(JobSpec job) {
        return expectedS(job);
    }

    /** Returns the estimated run time in seconds of a task of the job on the machine. */
    public double runTimeS(JobSpec job, String machine) {
        return runTimeS(job, machineFactor(machine));
    }

    /** Like {@link #runTimeS(JobSpec, String)}, for callers that look up each machine's factor once for many jobs. */
    double runTimeS(JobSpec job, double machineFactor) {
        return expectedS(job) * machineFactor;
    }

    /**
     * Returns the estimated seconds until a task completes that has run for {@code elapsedS} seconds on the machine. The result
     * is at least a quarter of the elapsed time, so that a task that exceeds its estimate isn't expected to complete at once.
     */
    public double remainingS(JobSpec job, String machine, double elapsedS) {
        return Math.max(runTimeS(job, machine) - elapsedS, elapsedS / 4);
    }

    /**
     * Returns the expected loss, in seconds, of a task that runs on a spot instance: the probability that the instance is
     * evicted during the run, times the work that is lost then. The loss is small for short tasks and for tasks that write
     * checkpoints. It is large enough to send long tasks without checkpoints to on-demand machines while those have capacity.
     */
    static double spotRiskS(JobSpec job, double runS) {
        double atRiskS = job.writesCheckpoints() ? Math.min(runS, job.checkpointS()) : runS;
        return runS / SPOT_LIFETIME_S * (atRiskS / 2 + runS / 4);
    }

    /** Returns the seconds to fetch the job's image on a machine of the type; 0 if the type's fetch rate is unknown. */
    static double fetchS(JobSpec job, MachineType type) {
        return type.fetchGbPerS() <= 0 ? 0 : job.imageGb() / type.fetchGbPerS();
    }

    /** Returns the ratio of actual to expected run times on the machine; 1 for any machine that isn't clearly slow. */
    public double machineFactor(String machine) {
        MachineHistory history = machines.get(machine);
        return history == null || history.factor < MIN_RELEVANT_FACTOR ? 1 : history.factor;
    }

    private static double clamp(double factor) {
        return Math.min(MAX_FACTOR, Math.max(1 / MAX_FACTOR, factor));
    }
}
