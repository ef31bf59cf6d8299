package garnetscale.core.sim;

import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.job.Priority;
import garnetscale.core.job.TestJob;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.Transaction;
import garnetscale.emulator.StateModel;

/** Users who submit, cancel and query jobs; each state that is reported to them goes to {@link ProtocolRules}. */
final class SimulatedUsers {

    private final SimulatedCluster cluster;
    /** Share of cancellations of which no controller receives a notice, as if the links between them were down. */
    double lostNoticeShare;

    SimulatedUsers(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    void submit(String id, String team, int tasks, double cpus, double seconds) {
        submit(id, team, Priority.NORMAL, tasks, cpus, seconds, false);
    }

    void submit(
            String id, String team, Priority priority, int tasks, double cpus, double seconds, boolean zoneAffinity) {
        submit(TestJob.named(id)
                .team(team)
                .priority(priority)
                .tasks(tasks)
                .cpus(cpus)
                .zoneAffinity(zoneAffinity)
                .imageGb(0.5)
                .estimateS(seconds)
                .build());
    }

    void submit(JobSpec job) {
        String id = job.id();
        cluster.rules.jobs.put(id, job);
        cluster.state.model.commit(new Transaction()
                .guard(Keys.job(id), 0)
                .put(Keys.job(id), Records.job(new JobRecord(job, JobState.LIVE, cluster.now))));
        cluster.rules.onStateReported(id, "LIVE");
    }

    /** Cancels a job in the state service; has no effect during an outage or on a terminal job. */
    void cancel(String id) {
        StateModel.Entry entry = cluster.state.model.get(Keys.job(id));
        if (entry == null || cluster.now < cluster.state.outageUntil) {
            return;
        }
        JobRecord job = Records.job(id, entry.value());
        cluster.state.model.commit(new Transaction()
                .guard(Keys.job(id), entry.modRevision())
                .put(Keys.job(id), Records.job(job.withState(JobState.CANCELLED))));
        cluster.rules.onStateReported(id, "CANCELLED");
    }

    /**
     * Cancels a job at a controller, which notifies its own owner role and its peers as soon as the cancellation is stored; a
     * controller that is down notifies nobody. Returns false if the state service refuses the controller or the job is terminal
     * already.
     */
    boolean cancelAt(String node, String id) {
        if (cluster.state.refuses(node) || cluster.state.model.get(Keys.job(id)) == null) {
            return false;
        }
        cancel(id);
        if (cluster.random.nextDouble() >= lostNoticeShare) {
            cluster.nodes.stream()
                    .filter(controller -> controller.name.equals(node) && controller.up)
                    .forEach(controller -> controller.sendToAll(peer -> peer.owner.onCancelled(id)));
        }
        return true;
    }

    /**
     * Queries the state of a job and reports it to the rules; returns whether the job is terminal. An unknown job is a violation
     * and counts as terminal.
     */
    boolean poll(String id) {
        StateModel.Entry terminal = cluster.state.model.get(Keys.terminalJob(id));
        if (terminal != null) {
            cluster.rules.onStateReported(
                    id, Records.terminalJob(terminal.value()).state().name());
            return true;
        }
        StateModel.Entry entry = cluster.state.model.get(Keys.job(id));
        if (entry == null) {
            cluster.rules.violations.add(cluster.now + " job unknown: " + id);
            return true;
        }
        cluster.rules.onStateReported(id, Records.job(id, entry.value()).state().name());
        return false;
    }
}
