package garnetscale.core.bid;

import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.MachineType;
import java.util.HashMap;
import java.util.Map;

/**
 * What the owner's estimate is worth, learned from tasks that completed: a factor per class of jobs, since owners
 * err alike, and one per machine, since machines of a type differ and a faulty one can be much slower.
 */
public final class Estimator {

    /** Weight of a new sample; the last handful of tasks decide. */
    private static final double GAIN = 0.2;
    private static final double MOST = 8;

    private final Map<String, Double> byClass = new HashMap<>();
    private final Map<String, Double> byMachine = new HashMap<>();

    /** A task of the job ran to completion on the machine in so many seconds. */
    public void completed(JobSpec job, String machine, double ranS) {
        if (job.estimateS() <= 0 || ranS <= 0) {
            return;
        }
        double expected = job.estimateS() * classFactor(job.jobClass());
        learn(byMachine, machine, ranS / expected);
        learn(byClass, job.jobClass(), ranS / job.estimateS() / machineFactor(machine));
    }

    /** A task still runs after so many seconds: a machine that is late with it is at least that slow. */
    public void stillRunning(JobSpec job, String machine, double ranS) {
        double expected = Math.max(1, job.estimateS() * classFactor(job.jobClass()));
        if (ranS > 2 * expected * machineFactor(machine)) {
            byMachine.merge(machine, clamp(ranS / expected), Math::max);
        }
    }

    public double runS(JobSpec job, String machine) {
        return job.estimateS() * classFactor(job.jobClass()) * machineFactor(machine);
    }

    public static double fetchS(JobSpec job, MachineType type) {
        return type.fetchGbPerS() <= 0 ? 0 : job.imageGb() / type.fetchGbPerS();
    }

    public double machineFactor(String machine) {
        return byMachine.getOrDefault(machine, 1.0);
    }

    private double classFactor(String jobClass) {
        return byClass.getOrDefault(jobClass, 1.0);
    }

    private static void learn(Map<String, Double> map, String key, double sample) {
        double old = map.getOrDefault(key, 1.0);
        map.put(key, clamp(old * Math.pow(clamp(sample) / old, GAIN)));
    }

    private static double clamp(double f) {
        return Math.min(MOST, Math.max(1 / MOST, f));
    }
}
