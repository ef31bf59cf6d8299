package garnetscale.core.trace;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.bidding.Bid;
import garnetscale.core.cluster.ControllerInfo;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.job.TaskId;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.core.partition.HeartbeatReply;
import garnetscale.core.partition.OwnerEffect;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Layouts;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.state.TransactionOutcome;
import garnetscale.emulator.StateModel;
import garnetscale.emulator.WorkerModel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** The controllers, workers and key-value store of a trace; each action says what the core did. */
final class TraceCluster {

    private static final long LEASE_MS = 10_000;
    private static final List<MachineType> TYPES =
            List.of(new MachineType("big", 8, 1, 32, 20, 1, 1, 0.5, 20, List.of("a", "b")));

    private final StateModel state = new StateModel();
    private final Map<String, TraceNode> nodes = new TreeMap<>();
    private final Map<String, WorkerModel> workers = new TreeMap<>();
    private final Map<String, JobSpec> jobs = new HashMap<>();
    private final List<OwnerEffect.SendCommands> commands = new ArrayList<>();
    /** Workers that receive nothing; what they send arrives. */
    private final Set<String> isolatedWorkers = new HashSet<>();
    /** The newest heartbeat of each worker, of which copies may arrive late. */
    private final Map<String, WorkerHeartbeat> lastHeartbeats = new HashMap<>();

    /** Transactions that were sent and haven't arrived, by node. */
    private final Map<String, Transaction> held = new HashMap<>();

    private final Consumer<String> output;
    private long now;

    TraceCluster(Consumer<String> output) {
        this.output = output;
        state.commit(new Transaction().put(Keys.TYPES, Records.types(TYPES)));
    }

    private static SchedulerConfig config(String self) {
        return TestConfig.small()
                .self(self)
                .controllers(List.of(
                        new SchedulerConfig.ControllerAddress("n0", "a", ""),
                        new SchedulerConfig.ControllerAddress("n1", "b", "")))
                .zones(List.of("a", "b"))
                .teams(
                        new SchedulerConfig.Team("red", 8, 12, 0, Double.POSITIVE_INFINITY),
                        new SchedulerConfig.Team("blue", 8, Double.POSITIVE_INFINITY, 0, 1))
                .objectives(
                        new SchedulerConfig.ServiceLevelObjective(SchedulerConfig.ObjectiveKind.START, "c", 2, 0.9, 0))
                .build();
    }

    private void say(String line) {
        output.accept(line);
    }

    void advanceTo(long time) {
        now = time;
    }

    TraceNode node(String name) {
        return nodes.get(name);
    }

    WorkerModel worker(String id) {
        return workers.get(id);
    }

    /** Starts a controller with a lease of its own. */
    void start(String name) {
        TraceNode node = new TraceNode(name, config(name), line -> say(name + " logs: " + line));
        node.lease = state.grant(now, 1_000_000_000);
        String zone = node.config.zoneOfController(name);
        state.commit(new Transaction()
                .put(
                        Keys.controller(name),
                        Records.controller(new ControllerInfo(name, node.lease, zone, Layouts.SUPPORTED)),
                        node.lease));
        node.owner.onLeaseGranted(node.lease);
        node.leader.onLeaseGranted(node.lease);
        nodes.put(name, node);
        sync(node);
    }

    /** The lease of a controller expires; a crashed one is gone. */
    void expireLease(String name, boolean crashed) {
        state.end(nodes.get(name).lease);
        if (crashed) {
            nodes.remove(name);
        }
    }

    /** Brings the replicas of matching nodes up to date. */
    void synchronize(Predicate<String> matches) {
        for (TraceNode node : nodes.values()) {
            if (matches.test(node.name)) {
                sync(node);
            }
        }
    }

    private void sync(TraceNode node) {
        if (node.replica.isLoaded()) {
            node.replica.advance(state.changes(Keys.REPLICATED, node.replica.revision()), state.revision());
        } else {
            node.replica.reset(state.list(Keys.REPLICATED, null, 1000), state.revision());
        }
        node.owner.onReplicaConfirmed(now);
    }

    void startWorker(String id, String zone) {
        workers.put(
                id, new WorkerModel(id, id, TYPES.get(0), zone, LEASE_MS, now, jobs::get, new WorkerModel.Watcher() {
                    @Override
                    public void began(String machine, TaskId task, long attempt) {
                        say(machine + " runs " + task);
                    }

                    @Override
                    public void ended(String machine, TaskId task, long attempt, boolean completed) {
                        say(machine + (completed ? " completed " : " ended ") + task);
                    }
                }));
    }

    /** What a node that starts now would read. */
    private StateReplica stored() {
        StateReplica replica = new StateReplica();
        replica.reset(state.list(Keys.REPLICATED, null, 1000), state.revision());
        return replica;
    }

    void submit(JobSpec job) {
        jobs.put(job.id(), job);
        state.commit(new Transaction()
                .guard(Keys.job(job.id()), 0)
                .put(Keys.job(job.id()), Records.job(new JobRecord(job, JobState.LIVE, now))));
    }

    void cancel(String id) {
        StateModel.Entry entry = state.get(Keys.job(id));
        if (entry == null) {
            say("nothing to cancel: "
                    + TraceText.text(state.get(Keys.terminalJob(id)).value()));
            return;
        }
        JobRecord job = Records.job(id, entry.value());
        state.commit(new Transaction()
                .guard(Keys.job(id), entry.modRevision())
                .put(Keys.job(id), Records.job(job.withState(JobState.CANCELLED))));
    }

    /** The node publishes everything it owns again. */
    void resynchronize(String name) {
        nodes.get(name).owner.resynchronize(now);
        effects(nodes.get(name), false);
    }

    /** The node's own leader publishes late and suspect jobs to it. */
    void publishMachineDirectory(String name) {
        TraceNode node = nodes.get(name);
        node.owner.onMachineDirectory(
                List.of(), node.leader.jobsWantingLateBids(), List.copyOf(node.leader.quarantinedJobs()));
    }

    void isolate(String worker) {
        isolatedWorkers.add(worker);
    }

    void reconnect(String worker) {
        isolatedWorkers.remove(worker);
    }

    /** A worker sends a heartbeat; its answer may be lost. */
    void heartbeat(String worker, String name, boolean lost) {
        WorkerModel model = workers.get(worker);
        TraceNode node = nodes.get(name);
        model.advance(now);
        WorkerHeartbeat heartbeat = model.heartbeat();
        lastHeartbeats.put(model.id(), heartbeat);
        HeartbeatReply reply = node.owner.onHeartbeat(now, heartbeat);
        if (reply instanceof HeartbeatReply.Acknowledge acknowledged) {
            say(node.name + " answers " + model.id() + " " + TraceText.fencingToken(acknowledged.fencingToken()) + " "
                    + TraceText.commands(acknowledged.commands()) + (lost ? ", lost" : ""));
            if (!lost && !isolatedWorkers.contains(model.id())) {
                model.answered(now, now, heartbeat.agentEpoch(), acknowledged.fencingToken(), acknowledged.commands());
            }
        } else if (reply instanceof HeartbeatReply.Redirect redirect) {
            say(node.name + " sends " + model.id() + " to " + redirect.node());
        } else {
            say(node.name + " refuses " + model.id() + ": " + ((HeartbeatReply.Reject) reply).reason());
        }
        effects(node, false);
    }

    /** A copy of a worker's newest heartbeat arrives; the answer is dropped. */
    void copyHeartbeat(String worker, String name) {
        TraceNode node = nodes.get(name);
        HeartbeatReply reply = node.owner.onHeartbeat(now, lastHeartbeats.get(worker));
        say(node.name
                + (reply instanceof HeartbeatReply.Acknowledge acknowledged
                        ? " answers a copy " + TraceText.fencingToken(acknowledged.fencingToken()) + " "
                                + TraceText.commands(acknowledged.commands())
                        : reply instanceof HeartbeatReply.Redirect ? " sends a copy elsewhere" : " refuses a copy"));
        effects(node, false);
    }

    void tick(String name) {
        effects(nodes.get(name), true);
    }

    private void effects(TraceNode node, boolean tick) {
        if (tick) {
            node.owner.tick(now);
        }
        for (OwnerEffect effect : node.owner.drainEffects()) {
            if (effect instanceof OwnerEffect.SendCommands send) {
                say(node.name + " commands " + send.machine() + " " + TraceText.fencingToken(send.fencingToken()) + " "
                        + TraceText.commands(send.commands()));
                commands.add(send);
            } else if (effect instanceof OwnerEffect.ProbeWorker probe) {
                WorkerModel worker = workers.get(probe.machine());
                boolean answered = worker != null && !isolatedWorkers.contains(probe.machine());
                say(node.name + " asks " + probe.machine() + (answered ? "" : ", no answer"));
                node.owner.onProbeEnded();
                if (answered) {
                    worker.advance(now);
                    node.owner.onProbeAnswer(now, worker.heartbeat());
                }
            } else if (effect instanceof OwnerEffect.PublishStatus publish) {
                say(node.name + " tells: " + publish.machineStatus().machine()
                        + (publish.machineStatus().silent() ? " silent" : "") + " "
                        + TraceText.tasks(publish.machineStatus().tasks())
                        + (publish.machineStatus().terminated().isEmpty()
                                ? ""
                                : " gone "
                                        + publish.machineStatus().terminated().size()));
                nodes.values().forEach(other -> other.leader.onMachineStatus(now, publish.machineStatus()));
            } else if (effect instanceof OwnerEffect.SubmitBids submit) {
                List<String> bids = new ArrayList<>();
                for (Bid bid : submit.batch().bids()) {
                    bids.add(
                            bid.machine() + " for " + bid.slots() + " of " + bid.job() + " in " + bid.finishS() + " s");
                }
                say(node.name + " bids " + bids);
                nodes.values().forEach(other -> other.leader.onBids(now, submit.batch()));
            }
        }
    }

    /** Sends the leader's next transaction, or its candidacy. {@code end}: ok, applied or lost (both without an answer), held. */
    void lead(String name, String end) {
        TraceNode node = nodes.get(name);
        if (!node.leader.leads(now)) {
            Transaction election = node.leader.election(now);
            say(node.name
                    + (election == null
                            ? " doesn't stand: there is a leader"
                            : " stands for leader: " + commit(election)));
            sync(node);
            node.leader.leads(now);
            return;
        }
        Transaction transaction = node.pipeline.next(() -> node.leader.plan(now));
        if (transaction == null) {
            say(node.name + " has nothing to write");
            return;
        }
        StringBuilder ops = new StringBuilder();
        for (Transaction.Op op : transaction.ops()) {
            ops.append(ops.isEmpty() ? "" : "; ")
                    .append(op.key())
                    .append(op.value() == null ? " removed" : " = " + TraceText.text(op.value()));
        }
        String result = end.equals("lost") || end.equals("held")
                ? "no answer"
                : commit(transaction) + (end.equals("applied") ? ", no answer" : "");
        if (end.equals("held")) {
            held.put(node.name, transaction);
        }
        say(node.name + " writes " + ops + " -> " + result);
        boolean answered = end.equals("ok");
        node.pipeline.ended(
                !answered
                        ? TransactionOutcome.UNKNOWN
                        : result.equals("200") ? TransactionOutcome.OK : TransactionOutcome.CONFLICT,
                state.revision());
        node.pipeline.ready();
    }

    /** The held transaction of a node arrives. */
    void commitHeld(String name) {
        say(commit(held.remove(name)) + " for the held transaction");
    }

    private String commit(Transaction transaction) {
        return String.valueOf(state.commit(transaction));
    }

    /**
     * Lets the oldest direct command arrive: ok, or late, when nobody waits for its answer any more. Lost means that
     * the owner gives it up; it may arrive yet. Carried out means that a copy of it may arrive again.
     */
    void deliverCommand(String how) {
        if (commands.isEmpty()) {
            say("no command is under way");
            return;
        }
        OwnerEffect.SendCommands send = commands.get(0);
        WorkerModel worker = workers.get(send.machine());
        TraceNode owner = nodes.values().stream()
                .filter(node -> node.owner.machineNames().contains(send.machine()))
                .findFirst()
                .orElse(null);
        if (how.equals("lost")) {
            owner.owner.onCommandLost(now, send.machine(), send.fencingToken());
            return;
        }
        boolean accepted = worker.command(now, send.fencingToken(), send.agentEpoch(), send.commands());
        say(worker.id() + (accepted ? " takes " : " refuses ") + "the command "
                + TraceText.fencingToken(send.fencingToken()));
        if (!how.equals("carried-out")) {
            commands.remove(0);
        }
        if (!how.equals("late")) {
            owner.owner.onCommandAnswer(now, send.machine(), send.fencingToken(), worker.heartbeat());
            effects(owner, false);
        }
    }

    void showPlacements(String machine) {
        say(machine + " has "
                + TraceText.text(stored().placements(machine).stream()
                        .map(placement -> List.of(
                                placement.task().toString(),
                                placement.attempt(),
                                placement.stop().toString()))
                        .toList()));
    }

    void showFinished(String job) {
        say(stored().job(job).finishedCount() + " tasks of " + job + " are finished");
    }

    void showStored(String key) {
        StateModel.Entry entry = state.get(key);
        say(key + " = " + (entry == null ? "nothing" : TraceText.text(entry.value())));
    }
}
