package garnetscale.core.trace;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.bidding.Bid;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.job.Priority;
import garnetscale.core.job.TaskId;
import garnetscale.core.job.TestJob;
import garnetscale.core.leader.Leader;
import garnetscale.core.leader.TransactionPipeline;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.machine.WorkerCommand;
import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.core.partition.ControllerInfo;
import garnetscale.core.partition.HeartbeatReply;
import garnetscale.core.partition.OwnerEffect;
import garnetscale.core.partition.PartitionMap;
import garnetscale.core.partition.PartitionOwner;
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

/**
 * Plays a trace: lines that begin with {@code >} are what happens, the others are what the core did. Nothing happens
 * by itself; nodes hear of each other and of the store only when the trace says so. CONTRIBUTING.md has the words.
 */
final class TraceRunner {

    private static final List<MachineType> TYPES =
            List.of(new MachineType("big", 8, 1, 32, 20, 1, 1, 0.5, 20, List.of("a", "b")));

    private final class Node {
        final String name;
        final StateReplica replica = new StateReplica();
        final SchedulerConfig config;
        final PartitionOwner owner;
        final Leader leader;
        final TransactionPipeline pipeline;
        long lease;

        Node(String name) {
            this.name = name;
            config = config(name);
            PartitionMap partitions = new PartitionMap(config);
            owner = new PartitionOwner(config, replica, partitions, new Estimator(config.heartbeatIntervalMs()));
            leader = new Leader(config, replica, partitions, s -> say(name + " logs: " + s));
            pipeline = new TransactionPipeline(replica, leader);
        }
    }

    private final StateModel state = new StateModel();
    private final Map<String, Node> nodes = new TreeMap<>();
    private final Map<String, WorkerModel> workers = new TreeMap<>();
    private final Map<String, JobSpec> jobs = new HashMap<>();
    private final List<OwnerEffect.SendCommands> commands = new ArrayList<>();
    /** Workers that nothing reaches; what they send themselves gets through. */
    private final Set<String> isolatedFromWorkers = new HashSet<>();
    /** The newest report of each worker, of which copies may come late. */
    private final Map<String, WorkerHeartbeat> copies = new HashMap<>();

    private final Map<String, Transaction> held = new HashMap<>();
    private final StringBuilder out = new StringBuilder();
    private long now;

    TraceRunner() {
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

    /** Plays the inputs of a trace and returns it with what truly happened in place of the recorded effects. */
    static String play(String trace) {
        TraceRunner r = new TraceRunner();
        for (String line : trace.split("\n")) {
            if (line.startsWith("#") || line.isBlank()) {
                r.out.append(line).append('\n');
            } else if (line.startsWith(">")) {
                r.out.append(line).append('\n');
                r.input(line.substring(1).trim().split("\\s+"));
            }
        }
        return r.out.toString();
    }

    private void say(String what) {
        out.append("    ").append(what).append('\n');
    }

    private static String option(String[] w, String name, String other) {
        for (String s : w) {
            if (s.startsWith(name + "=")) {
                return s.substring(name.length() + 1);
            }
        }
        return other;
    }

    private static boolean flag(String[] w, String name) {
        return List.of(w).contains(name);
    }

    private void input(String[] w) {
        switch (w[0]) {
            case "at" -> now = Long.parseLong(w[1]);
            case "up" -> up(w[1]);
            case "lapse" -> {
                state.end(nodes.get(w[1]).lease);
                if (flag(w, "crashed")) {
                    nodes.remove(w[1]);
                }
            }
            case "sync" ->
                nodes.values().stream()
                        .filter(n -> w.length == 1 || flag(w, n.name))
                        .forEach(this::sync);
            case "worker" ->
                workers.put(
                        w[1],
                        new WorkerModel(
                                w[1],
                                w[1],
                                TYPES.get(0),
                                option(w, "zone", "a"),
                                10_000,
                                now,
                                jobs::get,
                                new WorkerModel.Watcher() {
                                    @Override
                                    public void began(String machine, TaskId task, long attempt) {
                                        say(machine + " runs " + task);
                                    }

                                    @Override
                                    public void ended(String machine, TaskId task, long attempt, boolean completed) {
                                        say(machine + (completed ? " completed " : " ended ") + task);
                                    }
                                }));
            case "job" -> job(w);
            case "cancel" -> cancel(w[1]);
            case "told" -> nodes.get(w[1]).owner.onCancelled(w[2]);
            case "retell" -> {
                nodes.get(w[1]).owner.resynchronize(now);
                effects(nodes.get(w[1]), false);
            }
            case "slow" -> workers.get(w[1]).slowDown(Double.parseDouble(w[2]));
            case "book" ->
                nodes.get(w[1])
                        .owner
                        .onMachineDirectory(
                                List.of(),
                                nodes.get(w[1]).leader.lateJobs(),
                                List.copyOf(nodes.get(w[1]).leader.suspects()));
            case "deaf" -> isolatedFromWorkers.add(w[1]);
            case "hears" -> isolatedFromWorkers.remove(w[1]);
            case "copy" -> copy(copies.get(w[1]), nodes.get(w[2]));
            case "report" -> heartbeat(workers.get(w[1]), nodes.get(w[2]), flag(w, "lost"));
            case "tick" -> effects(nodes.get(w[1]), true);
            case "lead" -> lead(nodes.get(w[1]), w.length > 2 ? w[2] : "ok");
            case "arrives" -> say(commit(held.remove(w[1])) + " for the held transaction");
            case "command" -> command(w[1]);
            case "placed" ->
                say(w[1] + " has "
                        + text(stored().placements(w[1]).stream()
                                .map(p -> List.of(
                                        p.task().toString(),
                                        p.attempt(),
                                        p.stop().toString()))
                                .toList()));
            case "finished" -> say(stored().job(w[1]).finishedCount() + " tasks of " + w[1] + " are finished");
            case "store" ->
                say(w[1] + " = "
                        + (state.get(w[1]) == null
                                ? "nothing"
                                : text(state.get(w[1]).value())));
            default -> throw new IllegalArgumentException("not a word of traces: " + w[0]);
        }
    }

    private void up(String name) {
        Node n = new Node(name);
        n.lease = state.grant(now, 1_000_000_000);
        String zone = n.config.zoneOfNode(name);
        state.commit(new Transaction()
                .put(
                        Keys.node(name),
                        Records.node(new ControllerInfo(name, n.lease, zone, Layouts.SUPPORTED)),
                        n.lease));
        n.owner.onLeaseGranted(n.lease);
        n.leader.onLeaseGranted(n.lease);
        nodes.put(name, n);
        sync(n);
    }

    private void sync(Node n) {
        if (n.replica.loaded()) {
            n.replica.advance(state.changes(Keys.MIRRORED, n.replica.revision()), state.revision());
        } else {
            n.replica.reset(state.list(Keys.MIRRORED, null, 1000), state.revision());
        }
        n.owner.confirmed(now);
    }

    /** What a node that starts now would read. */
    private StateReplica stored() {
        StateReplica m = new StateReplica();
        m.reset(state.list(Keys.MIRRORED, null, 1000), state.revision());
        return m;
    }

    private void job(String[] w) {
        JobSpec s = TestJob.named(w[1])
                .team(option(w, "team", "red"))
                .priority(Priority.valueOf(option(w, "rank", "NORMAL")))
                .tasks(Integer.parseInt(option(w, "n", "1")))
                .cpus(Double.parseDouble(option(w, "cpus", "2")))
                .zoneAffinity(flag(w, "one-zone"))
                .zoneAntiAffinity(flag(w, "spread"))
                .imageGb(2)
                .estimateS(Double.parseDouble(option(w, "est", "30")))
                .build();
        jobs.put(w[1], s);
        state.commit(new Transaction()
                .guard(Keys.job(w[1]), 0)
                .put(Keys.job(w[1]), Records.job(new JobRecord(s, JobState.LIVE, now))));
    }

    private void cancel(String id) {
        StateModel.Entry e = state.get(Keys.job(id));
        if (e == null) {
            say("nothing to cancel: " + text(state.get(Keys.terminalJob(id)).value()));
            return;
        }
        JobRecord r = Records.job(id, e.value());
        state.commit(new Transaction()
                .guard(Keys.job(id), e.modRevision())
                .put(Keys.job(id), Records.job(r.withState(JobState.CANCELLED))));
    }

    private void heartbeat(WorkerModel m, Node n, boolean lost) {
        m.advance(now);
        WorkerHeartbeat r = m.heartbeat();
        copies.put(m.id(), r);
        HeartbeatReply reply = n.owner.onHeartbeat(now, r);
        if (reply instanceof HeartbeatReply.Acknowledge a) {
            say(n.name + " answers " + m.id() + " " + fencingToken(a.fencingToken()) + " " + commands(a.commands())
                    + (lost ? ", lost" : ""));
            if (!lost && !isolatedFromWorkers.contains(m.id())) {
                m.answered(now, now, r.agentEpoch(), a.fencingToken(), a.commands());
            }
        } else if (reply instanceof HeartbeatReply.Redirect to) {
            say(n.name + " sends " + m.id() + " to " + to.node());
        } else {
            say(n.name + " refuses " + m.id() + ": " + ((HeartbeatReply.Reject) reply).reason());
        }
        effects(n, false);
    }

    /** A copy of a report that came before; the answer goes nowhere. */
    private void copy(WorkerHeartbeat r, Node n) {
        HeartbeatReply reply = n.owner.onHeartbeat(now, r);
        say(n.name
                + (reply instanceof HeartbeatReply.Acknowledge a
                        ? " answers a copy " + fencingToken(a.fencingToken()) + " " + commands(a.commands())
                        : reply instanceof HeartbeatReply.Redirect ? " sends a copy elsewhere" : " refuses a copy"));
        effects(n, false);
    }

    private void effects(Node n, boolean tick) {
        if (tick) {
            n.owner.tick(now);
        }
        for (OwnerEffect e : n.owner.drain()) {
            if (e instanceof OwnerEffect.SendCommands c) {
                say(n.name + " commands " + c.machine() + " " + fencingToken(c.fencingToken()) + " "
                        + commands(c.commands()));
                commands.add(c);
            } else if (e instanceof OwnerEffect.ProbeWorker p) {
                WorkerModel m = workers.get(p.machine());
                boolean answered = m != null && !isolatedFromWorkers.contains(p.machine());
                say(n.name + " asks " + p.machine() + (answered ? "" : ", no answer"));
                n.owner.onProbeEnded();
                if (answered) {
                    m.advance(now);
                    n.owner.onProbeAnswer(now, m.heartbeat());
                }
            } else if (e instanceof OwnerEffect.PublishStatus t) {
                say(n.name + " tells: " + t.machineStatus().machine()
                        + (t.machineStatus().silent() ? " silent" : "") + " "
                        + tasks(t.machineStatus().tasks())
                        + (t.machineStatus().terminated().isEmpty()
                                ? ""
                                : " gone " + t.machineStatus().terminated().size()));
                nodes.values().forEach(o -> o.leader.onMachineStatus(now, t.machineStatus()));
            } else if (e instanceof OwnerEffect.SubmitBids o) {
                List<String> bids = new ArrayList<>();
                for (Bid b : o.batch().bids()) {
                    bids.add(b.machine() + " for " + b.slots() + " of " + b.job() + " in " + b.finishS() + " s");
                }
                say(n.name + " bids " + bids);
                nodes.values().forEach(l -> l.leader.onBids(now, o.batch()));
            }
        }
    }

    /** Sends the leader's next transaction. Its end: ok, applied or lost (both without an answer), or held. */
    private void lead(Node n, String end) {
        if (!n.leader.leads(now)) {
            Transaction election = n.leader.election(now);
            say(n.name
                    + (election == null
                            ? " doesn't stand: there is a leader"
                            : " stands for leader: " + commit(election)));
            sync(n);
            n.leader.leads(now);
            return;
        }
        Transaction transaction = n.pipeline.next(() -> n.leader.plan(now));
        if (transaction == null) {
            say(n.name + " has nothing to write");
            return;
        }
        StringBuilder ops = new StringBuilder();
        for (Transaction.Op op : transaction.ops()) {
            ops.append(ops.isEmpty() ? "" : "; ")
                    .append(op.key())
                    .append(op.value() == null ? " removed" : " = " + text(op.value()));
        }
        String result = end.equals("lost") || end.equals("held")
                ? "no answer"
                : commit(transaction) + (end.equals("applied") ? ", no answer" : "");
        if (end.equals("held")) {
            held.put(n.name, transaction);
        }
        say(n.name + " writes " + ops + " -> " + result);
        boolean ok = end.equals("ok");
        n.pipeline.ended(
                !ok
                        ? TransactionOutcome.MAYBE
                        : result.equals("200") ? TransactionOutcome.OK : TransactionOutcome.CONFLICT,
                state.revision());
        n.pipeline.ready();
    }

    private String commit(Transaction transaction) {
        return String.valueOf(state.commit(transaction));
    }

    /**
     * Lets the oldest direct command arrive: ok, or late, when nobody waits for its answer any more. Lost means that
     * the holder gives it up; it may arrive yet. Carried out means that a copy of it may come again.
     */
    private void command(String how) {
        if (commands.isEmpty()) {
            say("no command is under way");
            return;
        }
        OwnerEffect.SendCommands c = commands.get(0);
        WorkerModel m = workers.get(c.machine());
        Node n = nodes.values().stream()
                .filter(x -> x.owner.machineNames().contains(c.machine()))
                .findFirst()
                .orElse(null);
        if (how.equals("lost")) {
            n.owner.onCommandLost(now, c.machine(), c.fencingToken());
            return;
        }
        boolean done = m.command(now, c.fencingToken(), c.agentEpoch(), c.commands());
        say(m.id() + (done ? " takes " : " refuses ") + "the command " + fencingToken(c.fencingToken()));
        if (!how.equals("carried-out")) {
            commands.remove(0);
        }
        if (!how.equals("late")) {
            n.owner.onCommandAnswer(now, c.machine(), c.fencingToken(), m.heartbeat());
            effects(n, false);
        }
    }

    private static String fencingToken(long fencingToken) {
        long term = fencingToken >> 20;
        return "(term " + (term >> 20) + "." + (term & 0xfffff) + " token " + (fencingToken & 0xfffff) + ")";
    }

    private static String commands(List<WorkerCommand> commands) {
        List<String> list = new ArrayList<>();
        for (WorkerCommand o : commands) {
            list.add(o.getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT) + " " + o.task() + "#"
                    + (o.attempt() & 0xffffff));
        }
        return list.toString();
    }

    private static String tasks(List<TaskStatus> tasks) {
        List<String> list = new ArrayList<>();
        for (TaskStatus t : tasks) {
            list.add(t.task() + "#" + (t.attempt() & 0xffffff) + " " + (t.exited() ? t.cause() : t.state()));
        }
        return list.toString();
    }

    /** Values as in the store, with attempts cut to their number in the term. */
    private static String text(Object value) {
        if (value instanceof Map<?, ?> m) {
            List<String> list = new ArrayList<>();
            new TreeMap<>(m).forEach((k, v) -> list.add(k + ":" + text(v)));
            return String.join(" ", list);
        }
        if (value instanceof List<?> l) {
            return l.stream().map(TraceRunner::text).toList().toString();
        }
        return value instanceof Long n && n > 0xffffff ? "#" + (n & 0xffffff) : String.valueOf(value);
    }
}
