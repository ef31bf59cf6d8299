package garnetscale.core.bidding;

import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.MachineType;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What the owner's estimate is worth, learned from tasks that completed: a factor per class of jobs, since owners
 * err alike, and one per machine, since a faulty one can be much slower.
 *
 * <p>Tasks of a job differ by half and more, and the first to finish are its shortest. So a machine is not judged
 * by single tasks but by all that it does: the time that its tasks took and have run so far, against the time
 * that was expected of them.
 */
public final class Estimator {

    /** Weight of a new sample; the last handful of tasks decide. */
    private static final double GAIN = 0.2;

    private static final double MOST = 8;
    /** Finished tasks of a job before what they took is believed rather than the owner. */
    private static final int PEERS = 4;
    /** Machines that differ by less count as alike: following such differences sends tasks past cached images. */
    private static final double ALIKE = 1.5;
    /** Tasks' worth of evidence before a machine is judged. */
    private static final double ENOUGH = 4;

    private static final int JOBS = 512;
    /** How long a spot machine is reckoned to last, in seconds: pessimistic on quiet days, as waves come at once. */
    private static final double TAKEN_S = 1800;

    /** A machine's account: seconds its tasks took, seconds expected of them, and how many they were. */
    private static final class Account {
        double took;
        double expected;
        double tasks;
        double factor = 1;
    }

    /** A task under way: what it was expected to take and has run so far. */
    public record UnderWay(JobSpec job, double ranS) {}

    private final double slackS;
    private final Map<String, Double> byClass = new HashMap<>();
    private final Map<String, Account> byMachine = new HashMap<>();
    /** Sum of the logarithms of run times, and their number, of the latest jobs. */
    private final Map<String, double[]> byJob = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, double[]> eldest) {
            return size() > JOBS;
        }
    };

    /** Run times are seen through reports; {@code heartbeatIntervalMs} is how far apart these are. */
    public Estimator(long heartbeatIntervalMs) {
        slackS = heartbeatIntervalMs / 1000.0;
    }

    /** A task of the job ran to completion on the machine in so many seconds. */
    public void completed(JobSpec job, String machine, double ranS) {
        if (job.estimateS() <= 0 || ranS <= 0) {
            return;
        }
        Account a = byMachine.computeIfAbsent(machine, k -> new Account());
        a.took = a.took * (1 - GAIN) + ranS;
        a.expected = a.expected * (1 - GAIN) + expectedS(job) + slackS;
        a.tasks = a.tasks * (1 - GAIN) + 1;
        double old = byClass.getOrDefault(job.jobClass(), 1.0);
        byClass.put(job.jobClass(), clamp(old * Math.pow(clamp(ranS / job.estimateS()) / old, GAIN)));
        double[] sum = byJob.computeIfAbsent(job.id(), k -> new double[2]);
        sum[0] += Math.log(ranS);
        sum[1]++;
    }

    /** Judges a machine by what it completed and what runs on it now. */
    public void evaluate(String machine, Iterable<UnderWay> running) {
        Account a = byMachine.computeIfAbsent(machine, k -> new Account());
        double took = a.took;
        double expected = a.expected;
        double tasks = a.tasks;
        for (UnderWay t : running) {
            double e = expectedS(t.job()) + slackS;
            took += t.ranS();
            expected += Math.min(t.ranS(), e);
            tasks += Math.min(1, t.ranS() / e);
        }
        a.factor = tasks < ENOUGH || expected <= 0 ? 1 : clamp(took / expected);
    }

    private double expectedS(JobSpec job) {
        double[] sum = byJob.get(job.id());
        return sum == null || sum[1] < PEERS
                ? job.estimateS() * byClass.getOrDefault(job.jobClass(), 1.0)
                : Math.exp(sum[0] / sum[1]);
    }

    /** The estimated run time of a task of the job, in seconds, on a machine like most. */
    public double runS(JobSpec job) {
        return expectedS(job);
    }

    /** The estimated run time of a task of the job on the machine. */
    public double runS(JobSpec job, String machine) {
        return runS(job, machineFactor(machine));
    }

    /** The same for a machine whose factor is known, so that many jobs and machines take one look-up each. */
    double runS(JobSpec job, double machineFactor) {
        return expectedS(job) * machineFactor;
    }

    /** Seconds that a task which has run for so long will still take; one that is late takes a while yet. */
    public double remainingS(JobSpec job, String machine, double ranS) {
        return Math.max(runS(job, machine) - ranS, ranS / 4);
    }

    /**
     * What a spot machine costs a task on average: the chance that it is taken meanwhile, times the work that is
     * lost then. Small for short tasks and for those that save, and so enough to send long ones that don't save to
     * ordinary machines while those have room.
     */
    public static double spotRiskS(JobSpec job, double runS) {
        double lost = job.writesCheckpoints() ? Math.min(runS, job.checkpointS()) : runS;
        return runS / TAKEN_S * (lost / 2 + runS / 4);
    }

    public static double fetchS(JobSpec job, MachineType type) {
        return type.fetchGbPerS() <= 0 ? 0 : job.imageGb() / type.fetchGbPerS();
    }

    /** How much longer than expected the machine takes, 1 for any that is about as fast as the others. */
    public double machineFactor(String machine) {
        Account a = byMachine.get(machine);
        return a == null || a.factor < ALIKE ? 1 : a.factor;
    }

    private static double clamp(double f) {
        return Math.min(MOST, Math.max(1 / MOST, f));
    }
}
