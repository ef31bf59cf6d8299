package garnetscale.core.bid;

import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.MachineType;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What the owner's estimate is worth, learned from tasks that completed: a factor per class of jobs, since owners
 * err alike, and one per machine, since a faulty one can be much slower. A machine is judged by the other tasks of
 * the same job, not by estimates: an owner's error would be taken for the machine's.
 */
public final class Estimator {

    /** Weight of a new sample; the last handful of tasks decide. */
    private static final double GAIN = 0.2;
    private static final double MOST = 8;
    /** Finished tasks of a job before another one is judged by them. */
    private static final int PEERS = 2;
    private static final double ALIKE = 1.5;
    private static final int JOBS = 512;

    private final Map<String, Double> byClass = new HashMap<>();
    private final Map<String, Double> byMachine = new HashMap<>();
    /** Sum of the logarithms of run times, and their number, of the latest jobs. */
    private final Map<String, double[]> byJob = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, double[]> eldest) {
            return size() > JOBS;
        }
    };

    /** A task of the job ran to completion on the machine in so many seconds. */
    public void completed(JobSpec job, String machine, double ranS) {
        if (job.estimateS() <= 0 || ranS <= 0) {
            return;
        }
        learn(byClass, job.jobClass(), ranS / job.estimateS());
        double[] sum = byJob.computeIfAbsent(job.id(), k -> new double[2]);
        if (sum[1] >= PEERS) {
            learn(byMachine, machine, ranS / Math.exp(sum[0] / sum[1]));
        }
        sum[0] += Math.log(ranS);
        sum[1]++;
    }

    /** A task still runs after so many seconds: a machine that is late with it is at least that slow. */
    public void stillRunning(JobSpec job, String machine, double ranS) {
        double[] sum = byJob.get(job.id());
        if (sum != null && sum[1] >= PEERS) {
            double slow = ranS / Math.exp(sum[0] / sum[1]);
            if (slow > 2) {
                byMachine.merge(machine, clamp(slow), Math::max);
            }
        }
    }

    /** The estimated run time of a task of the job on the machine. */
    public double runS(JobSpec job, String machine) {
        return job.estimateS() * classFactor(job.jobClass()) * machineFactor(machine);
    }

    public static double fetchS(JobSpec job, MachineType type) {
        return type.fetchGbPerS() <= 0 ? 0 : job.imageGb() / type.fetchGbPerS();
    }

    /**
     * How much longer than others the machine takes. Small differences count as none: they are mostly noise, and
     * following them would send tasks past machines that have their image already.
     */
    public double machineFactor(String machine) {
        double f = byMachine.getOrDefault(machine, 1.0);
        return f < ALIKE && f > 1 / ALIKE ? 1 : f;
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
