package garnetscale.core.quota;

import garnetscale.core.Params;
import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.MachineType;
import garnetscale.core.store.JobView;
import garnetscale.core.store.StateReplica;
import java.util.HashMap;
import java.util.Map;

/**
 * What each team uses. A task counts from its award until it is freed on proof, so also while it fetches, saves
 * or can't be reached: the limit holds for what may be running, not for what is known to run.
 */
public final class QuotaBook {

    private final Map<String, Params.Team> teams;
    private final Map<String, double[]> used = new HashMap<>();

    public QuotaBook(Map<String, Params.Team> teams) {
        this.teams = teams;
    }

    /** Counts every placement that the replica holds. */
    public static QuotaBook of(Params params, StateReplica replica) {
        QuotaBook book = new QuotaBook(params.teams());
        for (JobView job : replica.jobs()) {
            book.add(job.spec(), job.placedCount());
        }
        return book;
    }

    public void add(JobSpec job, int tasks) {
        double[] u = used.computeIfAbsent(job.team(), k -> new double[2]);
        u[0] += tasks * job.cpus();
        u[1] += tasks * job.gpus();
    }

    /** Whether one more task of the job stays within its team's limit. */
    public boolean allows(JobSpec job) {
        Params.Team team = teams.get(job.team());
        if (team == null) {
            return false;
        }
        return cpus(job.team()) + job.cpus() <= team.cpusMax() + MachineType.EPSILON
                && gpus(job.team()) + job.gpus() <= team.gpusMax() + MachineType.EPSILON;
    }

    /** Whether the job's team uses more than its guarantee, so that it has to give back what others need. */
    public boolean borrows(JobSpec job) {
        Params.Team team = teams.get(job.team());
        return team != null
                && (cpus(job.team()) > team.cpus() + MachineType.EPSILON
                        || gpus(job.team()) > team.gpus() + MachineType.EPSILON);
    }

    /** Whether one more task of the job is within what its team is guaranteed. */
    public boolean guarantees(JobSpec job) {
        Params.Team team = teams.get(job.team());
        return team != null
                && cpus(job.team()) + job.cpus() <= team.cpus() + MachineType.EPSILON
                && (job.gpus() == 0 || gpus(job.team()) + job.gpus() <= team.gpus() + MachineType.EPSILON);
    }

    public double cpus(String team) {
        double[] u = used.get(team);
        return u == null ? 0 : u[0];
    }

    public double gpus(String team) {
        double[] u = used.get(team);
        return u == null ? 0 : u[1];
    }
}
