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

/** The controllers, workers and state service of a trace; each action prints what the core did. */
final class TraceCluster {

    /** Duration of a worker lease. */
    private static final long LEASE_MS = 10_000;

    private static final List<MachineType> TYPES =
            List.of(new MachineType("big", 8, 1, 32, 20, 1, 1, 0.5, 20, List.of("a", "b")));

    private final StateModel state = new StateModel();
    private final Map<String, TraceNode> nodes = new TreeMap<>();
    private final Map<String, WorkerModel> workers = new TreeMap<>();
    private final Map<String, JobSpec> jobs = new HashMap<>();
    /** Direct commands that have not arrived, oldest first. */
    private final List<OwnerEffect.SendCommands> commandsInFlight = new ArrayList<>();
    /** Workers that receive no messages, although their heartbeats arrive. */
    private final Set<String> unreachableWorkers = new HashSet<>();
    /** The last heartbeat of each worker, for copies that arrive late. */
    private final Map<String, WorkerHeartbeat> lastHeartbeats = new HashMap<>();

    /** Transactions that were sent but have not arrived, by controller. */
    private final Map<String, Transaction> heldTransactions = new HashMap<>();

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

    private void print(String line) {
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
        TraceNode node = new TraceNode(name, config(name), line -> print(name + " logs: " + line));
        node.lease = state.grantLease(now, 1_000_000_000);
        String zone = node.config.zoneOfController(name);
        state.commit(new Transaction()
                .put(
                        Keys.controller(name),
                        Records.controller(new ControllerInfo(name, node.lease, zone, Layouts.SUPPORTED)),
                        node.lease));
        node.owner.onLeaseChanged(node.lease);
        node.leader.onLeaseChanged(node.lease);
        nodes.put(name, node);
        sync(node);
    }

    /** Ends the state lease of a controller, and removes the controller if it has crashed. */
    void expireLease(String name, boolean crashed) {
        state.revokeLease(nodes.get(name).lease);
        if (crashed) {
            nodes.remove(name);
        }
    }

    /** Brings the replicas of matching controllers up to date. */
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
                id,
                new WorkerModel(id, id, TYPES.get(0), zone, LEASE_MS, now, jobs::get, new WorkerModel.TaskListener() {
                    @Override
                    public void onStarted(String machine, TaskId task, long attempt) {
                        print(machine + " runs " + task);
                    }

                    @Override
                    public void onEnded(String machine, TaskId task, long attempt, boolean completed) {
                        print(machine + (completed ? " completed " : " ended ") + task);
                    }
                }));
    }

    /** Returns a replica as a controller that starts now would read it. */
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
            print("nothing to cancel: "
                    + TraceText.text(state.get(Keys.terminalJob(id)).value()));
            return;
        }
        JobRecord job = Records.job(id, entry.value());
        state.commit(new Transaction()
                .guard(Keys.job(id), entry.modRevision())
                .put(Keys.job(id), Records.job(job.withState(JobState.CANCELLED))));
    }

    /** Makes an owner publish the status of all its machines and its bids again, as for a new leader. */
    void resynchronize(String name) {
        nodes.get(name).owner.resynchronize(now);
        performEffects(nodes.get(name), false);
    }

    /**
     * Delivers a machine directory without machines to a controller's owner role. It names the jobs that the controller's leader
     * role wants late bids for, and the quarantined jobs.
     */
    void publishMachineDirectory(String name) {
        TraceNode node = nodes.get(name);
        node.owner.onMachineDirectory(
                List.of(), node.leader.jobsWantingLateBids(), List.copyOf(node.leader.quarantinedJobs()));
    }

    void blockMessagesTo(String worker) {
        unreachableWorkers.add(worker);
    }

    void unblockMessagesTo(String worker) {
        unreachableWorkers.remove(worker);
    }

    /** Delivers a heartbeat of a worker to a controller; the answer may be lost. */
    void heartbeat(String worker, String name, boolean lost) {
        WorkerModel model = workers.get(worker);
        TraceNode node = nodes.get(name);
        model.advance(now);
        WorkerHeartbeat heartbeat = model.heartbeat();
        lastHeartbeats.put(model.id(), heartbeat);
        HeartbeatReply reply = node.owner.onHeartbeat(now, heartbeat);
        if (reply instanceof HeartbeatReply.Acknowledge acknowledged) {
            print(node.name + " answers " + model.id() + " " + TraceText.fencingToken(acknowledged.fencingToken()) + " "
                    + TraceText.commands(acknowledged.commands()) + (lost ? ", lost" : ""));
            if (!lost && !unreachableWorkers.contains(model.id())) {
                model.onHeartbeatReply(
                        now, now, heartbeat.agentEpoch(), acknowledged.fencingToken(), acknowledged.commands());
            }
        } else if (reply instanceof HeartbeatReply.Redirect redirect) {
            print(node.name + " sends " + model.id() + " to " + redirect.node());
        } else {
            print(node.name + " refuses " + model.id() + ": " + ((HeartbeatReply.Reject) reply).reason());
        }
        performEffects(node, false);
    }

    /** Delivers a copy of a worker's last heartbeat to a controller; the answer is dropped. */
    void copyHeartbeat(String worker, String name) {
        TraceNode node = nodes.get(name);
        HeartbeatReply reply = node.owner.onHeartbeat(now, lastHeartbeats.get(worker));
        print(node.name
                + (reply instanceof HeartbeatReply.Acknowledge acknowledged
                        ? " answers a copy " + TraceText.fencingToken(acknowledged.fencingToken()) + " "
                                + TraceText.commands(acknowledged.commands())
                        : reply instanceof HeartbeatReply.Redirect ? " sends a copy elsewhere" : " refuses a copy"));
        performEffects(node, false);
    }

    void tick(String name) {
        performEffects(nodes.get(name), true);
    }

    private void performEffects(TraceNode node, boolean tick) {
        if (tick) {
            node.owner.tick(now);
        }
        for (OwnerEffect effect : node.owner.drainEffects()) {
            if (effect instanceof OwnerEffect.SendCommands send) {
                print(node.name + " commands " + send.machine() + " " + TraceText.fencingToken(send.fencingToken())
                        + " " + TraceText.commands(send.commands()));
                commandsInFlight.add(send);
            } else if (effect instanceof OwnerEffect.ProbeWorker probe) {
                WorkerModel worker = workers.get(probe.machine());
                boolean answered = worker != null && !unreachableWorkers.contains(probe.machine());
                print(node.name + " asks " + probe.machine() + (answered ? "" : ", no answer"));
                node.owner.onProbeEnded();
                if (answered) {
                    worker.advance(now);
                    node.owner.onProbeAnswer(now, worker.heartbeat());
                }
            } else if (effect instanceof OwnerEffect.PublishStatus publish) {
                print(node.name + " tells: " + publish.machineStatus().machine()
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
                print(node.name + " bids " + bids);
                nodes.values().forEach(other -> other.leader.onBids(now, submit.batch()));
            }
        }
    }

    /**
     * Sends the next transaction of a leader, or the election transaction of a controller that doesn't lead.
     *
     * @param outcome what becomes of a leader's transaction: "ok" if it arrives and is answered; "applied" if it arrives and the
     *                answer is lost; "lost" if it never arrives; "held" if it arrives only at {@link #commitHeld}, without an
     *                answer
     */
    void lead(String name, String outcome) {
        TraceNode node = nodes.get(name);
        if (!node.leader.leads(now)) {
            Transaction election = node.leader.election(now);
            print(node.name
                    + (election == null
                            ? " doesn't stand: there is a leader"
                            : " stands for leader: " + commit(election)));
            sync(node);
            node.leader.leads(now);
            return;
        }
        Transaction transaction = node.pipeline.next(() -> node.leader.plan(now));
        if (transaction == null) {
            print(node.name + " has nothing to write");
            return;
        }
        StringBuilder ops = new StringBuilder();
        for (Transaction.Op op : transaction.ops()) {
            ops.append(ops.isEmpty() ? "" : "; ")
                    .append(op.key())
                    .append(op.value() == null ? " removed" : " = " + TraceText.text(op.value()));
        }
        String result = outcome.equals("lost") || outcome.equals("held")
                ? "no answer"
                : commit(transaction) + (outcome.equals("applied") ? ", no answer" : "");
        if (outcome.equals("held")) {
            heldTransactions.put(node.name, transaction);
        }
        print(node.name + " writes " + ops + " -> " + result);
        boolean answered = outcome.equals("ok");
        node.pipeline.ended(
                !answered
                        ? TransactionOutcome.UNKNOWN
                        : result.equals("200") ? TransactionOutcome.OK : TransactionOutcome.CONFLICT,
                state.revision());
        node.pipeline.ready();
    }

    /** Delivers the held transaction of a controller to the state service. */
    void commitHeld(String name) {
        print(commit(heldTransactions.remove(name)) + " for the held transaction");
    }

    private String commit(Transaction transaction) {
        return String.valueOf(state.commit(transaction));
    }

    /**
     * Delivers the oldest direct command to its machine.
     *
     * @param how "ok" if it is answered; "late" if the owner no longer waits for the answer; "lost" if the owner gives the
     *            command up, although it may still arrive; "carried-out" if it is answered and a copy may arrive later
     */
    void deliverCommand(String how) {
        if (commandsInFlight.isEmpty()) {
            print("no command is under way");
            return;
        }
        OwnerEffect.SendCommands send = commandsInFlight.get(0);
        WorkerModel worker = workers.get(send.machine());
        TraceNode owner = nodes.values().stream()
                .filter(node -> node.owner.machineNames().contains(send.machine()))
                .findFirst()
                .orElse(null);
        if (how.equals("lost")) {
            owner.owner.onCommandLost(now, send.machine(), send.fencingToken());
            return;
        }
        boolean accepted = worker.onDirectCommands(now, send.fencingToken(), send.agentEpoch(), send.commands());
        print(worker.id() + (accepted ? " takes " : " refuses ") + "the command "
                + TraceText.fencingToken(send.fencingToken()));
        if (!how.equals("carried-out")) {
            commandsInFlight.remove(0);
        }
        if (!how.equals("late")) {
            owner.owner.onCommandAnswer(now, send.machine(), send.fencingToken(), worker.heartbeat());
            performEffects(owner, false);
        }
    }

    void showPlacements(String machine) {
        print(machine + " has "
                + TraceText.text(stored().placements(machine).stream()
                        .map(placement -> List.of(
                                placement.task().toString(),
                                placement.attempt(),
                                placement.stop().toString()))
                        .toList()));
    }

    void showFinished(String job) {
        print(stored().job(job).finishedCount() + " tasks of " + job + " are finished");
    }

    void showStored(String key) {
        StateModel.Entry entry = state.get(key);
        print(key + " = " + (entry == null ? "nothing" : TraceText.text(entry.value())));
    }
}
