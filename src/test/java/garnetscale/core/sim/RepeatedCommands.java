package garnetscale.core.sim;

import garnetscale.core.cluster.FencingTokens;
import garnetscale.core.cluster.PartitionLease;
import garnetscale.core.cluster.PartitionMap;
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.machine.WorkerCommand;
import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.core.partition.OwnerEffect;
import garnetscale.emulator.WorkerModel;
import java.util.HashMap;
import java.util.Map;

/**
 * Delivers copies of direct commands that were carried out and answered, up to a minute later. The worker accepts a copy if the fencing
 * token and the agent epoch still match (PROTOCOL, "Delayed messages"). Counts what had become of the tasks in between.
 */
final class RepeatedCommands {

    /** Maximum time after which a copy arrives. */
    private static final int MAX_DELAY_MS = 60_000;

    private static final String COPY = "copy of a start ";

    private final SimulatedCluster cluster;
    /** Why each attempt that a worker has reported as exited has ended. */
    private final Map<Long, ExitCause> exitCauses = new HashMap<>();
    /** Time until which each answered command is repeated. */
    private long until;

    RepeatedCommands(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Repeats each direct command that is carried out and answered within the next {@code ms}. */
    void repeatFor(long ms) {
        until = cluster.now + ms;
        cluster.onTrouble(ms + MAX_DELAY_MS);
    }

    /** Remembers why attempts have ended. */
    void onHeartbeat(WorkerHeartbeat heartbeat) {
        for (TaskStatus task : heartbeat.tasks()) {
            if (task.exited()) {
                exitCauses.put(task.attempt(), task.cause());
            }
        }
    }

    /** Schedules a copy of a command that {@code sender} sent, and that the machine has carried out and answered. */
    void onAnswered(String sender, OwnerEffect.SendCommands send) {
        if (cluster.now < until) {
            // Half of the copies arrive within two seconds, while controllers and machines are coming back.
            int delayMs = 1 + cluster.random.nextInt(cluster.random.nextBoolean() ? 2000 : MAX_DELAY_MS);
            cluster.at(delayMs, () -> cluster.network.runWhenThawed(send.machine(), () -> deliver(sender, send)));
        }
    }

    private void deliver(String sender, OwnerEffect.SendCommands send) {
        WorkerModel worker = cluster.worker(send.machine()).model;
        boolean isSameEpoch = worker.agentEpoch() == send.agentEpoch();
        for (WorkerCommand command : send.commands()) {
            if (command instanceof WorkerCommand.Start) {
                countState(send.machine(), command);
                count(ownership(sender, send));
            }
        }
        boolean isAccepted =
                worker.onDirectCommands(cluster.now, send.fencingToken(), send.agentEpoch(), send.commands());
        if (send.commands().stream().anyMatch(WorkerCommand.Start.class::isInstance)) {
            String rejection = isSameEpoch ? "rejected by its token" : "rejected by its agent epoch";
            count(isAccepted ? "accepted" : rejection);
        }
    }

    private void count(String what) {
        cluster.countOccurrence(COPY + what);
    }

    private void countState(String machine, WorkerCommand command) {
        String now = cluster.rules.running().get(command.task());
        ExitCause cause = exitCauses.get(command.attempt());
        if (cluster.rules.isCancelled(command.task().job())) {
            count("of a cancelled task");
        }
        if (cluster.rules.hasCompleted(command.task())) {
            count("of a task that is done");
        } else if (now != null) {
            count(now.equals(machine) ? "of a task that runs" : "of a task that was moved");
        }
        if (cause == ExitCause.STOPPED) {
            count("of a task that was stopped");
        } else if (cause == ExitCause.UNKNOWN_TASK) {
            count("that was refused");
        }
    }

    private String ownership(String sender, OwnerEffect.SendCommands send) {
        String partition = new PartitionMap(cluster.shape.config("n0"))
                .partitionOf(send.machine(), cluster.zoneOf(send.machine()));
        PartitionLease lease = cluster.stored().partition(partition);
        if (lease.term() == FencingTokens.partitionTermOf(send.fencingToken())) {
            return "under the same owner";
        }
        return lease.owner().equals(sender) ? "under another term of its owner" : "under a new owner";
    }
}
