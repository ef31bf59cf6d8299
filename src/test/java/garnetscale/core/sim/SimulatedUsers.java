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

/** Users, who submit, cancel and ask for jobs; the rules are told what they are answered. */
final class SimulatedUsers {

    private final SimulatedCluster cluster;
    /** Share of cancellations of which the peers aren't notified: their links are down just then. */
    double lostCancellationNotices;

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
        cluster.rules.told(id, "LIVE");
    }

    /** Cancels a job in the key-value store; nothing happens during an outage or when the job is terminal. */
    void cancel(String id) {
        StateModel.Entry entry = cluster.state.model.get(Keys.job(id));
        if (entry == null || cluster.now < cluster.state.outageUntil) {
            return;
        }
        JobRecord job = Records.job(id, entry.value());
        cluster.state.model.commit(new Transaction()
                .guard(Keys.job(id), entry.modRevision())
                .put(Keys.job(id), Records.job(job.withState(JobState.CANCELLED))));
        cluster.rules.told(id, "CANCELLED");
    }

    /** A user cancels at a node, which notifies its peers as soon as it is stored; false when it couldn't. */
    boolean cancelAt(String node, String id) {
        if (cluster.state.refuses(node) || cluster.state.model.get(Keys.job(id)) == null) {
            return false;
        }
        cancel(id);
        if (cluster.random.nextDouble() >= lostCancellationNotices) {
            cluster.nodes.stream()
                    .filter(controller -> controller.name.equals(node) && controller.up)
                    .forEach(controller -> controller.peers(peer -> peer.owner.onCancelled(id)));
        }
        return true;
    }

    /** Asks for the state of a job; true when it is terminal. */
    boolean poll(String id) {
        StateModel.Entry terminal = cluster.state.model.get(Keys.terminalJob(id));
        if (terminal != null) {
            cluster.rules.told(id, Records.terminalJob(terminal.value()).state().name());
            return true;
        }
        StateModel.Entry entry = cluster.state.model.get(Keys.job(id));
        if (entry == null) {
            cluster.rules.violations.add(cluster.now + " forgotten: " + id);
            return true;
        }
        cluster.rules.told(id, Records.job(id, entry.value()).state().name());
        return false;
    }
}
