package garnetscale.core.partition;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.bidding.Bid;
import garnetscale.core.bidding.BidBatch;
import garnetscale.core.bidding.Bidding;
import garnetscale.core.bidding.Estimator;
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineAddress;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.machine.TaskState;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.machine.WorkerCommand;
import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.core.queue.JobOrder;
import garnetscale.core.queue.JobQueue;
import garnetscale.core.queue.ScarceTypeFilter;
import garnetscale.core.quota.QuotaUsage;
import garnetscale.core.state.FreeCapacityCache;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

/**
 * The holder of this node's blocks: the only one that commands their machines. It brings each machine to what
 * the stored placements say, tells the leader what it sees, and bids for its machines.
 *
 * <p>It acts by state, not by events: whatever was lost, late or repeated, the next report and the next revision
 * lead to the same orders. An attempt that the store doesn't place is stopped and cleared, one that it places is
 * started, and one that must not run any more is called gone only on proof (see {@link #proveTerminated}).
 */
public final class PartitionOwner {

    private record OwnedPartition(long term, long since) {}

    /** Sheets that fit into a window: often enough to close it early, and not for each change of a busy moment. */
    private static final int OFFERS_IN_WINDOW = 6;

    /** As long as an answer to such a question is waited for. */
    private static final long ASK_AGAIN_MS = 2000;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final PartitionMap partitions;
    private final Estimator estimator;
    private final JobOrder order;
    private final ScarceTypeFilter scarcity;
    private final Map<String, OwnedPartition> owned = new TreeMap<>();
    private final Map<String, MachineView> machines = new TreeMap<>();
    private final List<OwnerEffect> effects = new ArrayList<>();
    private final Map<String, MachineAddress> machineDirectory = new TreeMap<>();
    /** Jobs that a peer says are cancelled; news that the replica may not bring while this node is cut off. */
    private final Set<String> cancelledByPeers = new LinkedHashSet<>();
    /** Started jobs that the leader takes late bids for. */
    private final Set<String> late = new HashSet<>();
    /** Jobs that fail wherever they run, by what the leader hears of all machines. */
    private final Set<String> suspects = new HashSet<>();

    private long incarnation = -1;
    private long confirmedAt = Long.MIN_VALUE / 2;
    private BidBatch lastBatch;
    private final FreeCapacityCache capacities;
    private final WorkerRequestLimiter outbound;
    private final Reachability reachability;
    private long sweptAt = Long.MIN_VALUE / 2;
    private long offeredAt = Long.MIN_VALUE / 2;
    private boolean offerDue = true;
    private long offeredRevision = -1;
    private LeaderInfo notifiedLeader;

    public PartitionOwner(SchedulerConfig config, StateReplica replica, PartitionMap partitions, Estimator estimator) {
        this.config = config;
        this.replica = replica;
        this.partitions = partitions;
        this.estimator = estimator;
        this.order = new JobOrder(config);
        this.scarcity = new ScarceTypeFilter(config);
        this.capacities = new FreeCapacityCache(replica);
        this.outbound = new WorkerRequestLimiter(config.directAtOnce());
        this.reachability = new Reachability(config);
    }

    public List<OwnerEffect> drain() {
        List<OwnerEffect> out = List.copyOf(effects);
        effects.clear();
        return out;
    }

    /** The process has a (new) state lease; what it held under an earlier one is no longer its own. */
    public void onLeaseGranted(long lease) {
        incarnation = lease;
    }

    /** The replica is complete as of a request that was sent at this time. */
    public void confirmed(long sentAt) {
        confirmedAt = Math.max(confirmedAt, sentAt);
    }

    /**
     * Whether this node may speak for its blocks. A holder that is cut off from the state service goes on for the
     * grace, so that an outage kills no tasks, and no longer, since its blocks may have been given away and a
     * cancellation may have been promised.
     */
    public boolean entitled(long now) {
        return now - confirmedAt <= config.graceMs();
    }

    /**
     * Whether the process is late with its work. Questions to workers then go out one at a time: nearly every worker shows
     * by its next report what the question would tell, and reports and users wait for the same processor.
     */
    public void lagging(boolean late) {
        outbound.lagging(late);
    }

    public int machineCount() {
        return machines.size();
    }

    /** Follows the block leases; a new term means new tokens and nothing known of what an older one sent. */
    private void refreshPartitions(long now) {
        for (String partition : partitions.all()) {
            PartitionLease lease = replica.partition(partition);
            OwnedPartition mine = owned.get(partition);
            boolean ours = lease != null && lease.owner().equals(config.self()) && lease.incarnation() == incarnation;
            if (!ours && mine != null || ours && mine != null && mine.term() != lease.term()) {
                owned.remove(partition);
                outbound.clearQuestions();
                machines.values().removeIf(m -> m.partition.equals(partition));
                mine = null;
            }
            if (ours && mine == null) {
                owned.put(partition, new OwnedPartition(lease.term(), now));
                sweptAt = Long.MIN_VALUE / 2;
            }
        }
    }

    public HeartbeatReply onHeartbeat(long now, WorkerHeartbeat r) {
        reachability.heard(now);
        refreshPartitions(now);
        String partition = partitions.partitionOf(r.machine(), r.zone());
        OwnedPartition mine = owned.get(partition);
        if (mine == null) {
            PartitionLease lease = replica.partition(partition);
            return new HeartbeatReply.Redirect(
                    lease == null || lease.owner().equals(config.self()) ? null : lease.owner());
        }
        if (!entitled(now)) {
            return new HeartbeatReply.Reject("term not confirmed within the grace");
        }
        MachineView m = machines.computeIfAbsent(
                r.machine(), id -> new MachineView(id, partition, FencingTokens.firstToken(mine.term())));
        if (!r.isNewerThan(m.last) || r.agentEpoch() <= m.expiredEpoch) {
            return new HeartbeatReply.Reject("report overtaken");
        }
        if (r.fencingToken() > m.fencingToken) {
            if (FencingTokens.partitionTermOf(r.fencingToken()) != mine.term()) {
                return new HeartbeatReply.Reject("the worker has seen a newer term");
            }
            m.fencingToken = r.fencingToken();
        }
        m.startsInAnswer.clear();
        boolean couldBid = mayBid(now, m);
        boolean alike = m.last != null && m.last.hasSameContentAs(r);
        accept(now, m, r);
        m.lastHeartbeatAt = now;
        proveTerminated(m, mine);
        List<WorkerCommand> commands = commandsFor(now, m, mine, true);
        m.answeredAt = now;
        for (WorkerCommand o : commands) {
            if (o instanceof WorkerCommand.Start s) {
                m.startsInAnswer.add(s.attempt());
            }
        }
        ask(now, m, r.address());
        // All that going over the machine would do is done, but for what only a command can: that is due when the
        // answer is
        // lost. Most reports bring nothing new, and bids are made anew only for those that do.
        m.dirty = false;
        m.restless = !commands.isEmpty() || m.commandInFlight || m.unreachable();
        observe(now, m, mine);
        evaluate(now, m);
        offerDue |= !alike || couldBid != mayBid(now, m);
        return new HeartbeatReply.Acknowledge(m.fencingToken, commands);
    }

    /** A direct command was answered, with 200 or 409, by the worker's report. */
    public void onCommandAnswer(long now, String machine, long fencingToken, WorkerHeartbeat r) {
        reachability.heard(now);
        outbound.commandEnded();
        MachineView m = machines.get(machine);
        if (m == null || !m.commandInFlight) {
            return;
        }
        m.commandInFlight = false;
        m.answers = true;
        m.dirty = true;
        if (r.isNewerThan(m.last) && r.agentEpoch() > m.expiredEpoch) {
            accept(now, m, r);
            m.lastHeartbeatAt = now;
        }
        OwnedPartition mine = owned.get(m.partition);
        if (mine != null) {
            observe(now, m, mine);
        }
    }

    /**
     * A direct command went unanswered: it may still arrive, minutes from now. From here on the machine gets a
     * higher token, and nothing more is sent directly until a report shows it.
     */
    public void onCommandLost(long now, String machine, long fencingToken) {
        outbound.commandEnded();
        MachineView m = machines.get(machine);
        if (m == null || !m.commandInFlight) {
            return;
        }
        m.commandInFlight = false;
        m.dirty = true;
        m.lostFencingToken = Math.max(m.lostFencingToken, fencingToken);
        raise(m, fencingToken);
    }

    /** Moves a machine's token above the given one; when a term's tokens are used up it stays where it is. */
    private static void raise(MachineView m, long above) {
        if (m.fencingToken <= above && FencingTokens.sameTerm(above + 1, above)) {
            m.fencingToken = above + 1;
        }
    }

    /**
     * Whether no start of the attempt can take effect any more that the newest report doesn't show already. A
     * direct command may come late and may come twice, answered or not; only a worker that has seen a higher
     * token than the command's refuses it. Without this a copy of a start that arrives after the clear would run
     * the task a second time. Starts in the answer to a report are dropped after four seconds and so before the
     * next report. What older holders sent is behind this term's first token.
     */
    private boolean settled(MachineView m, OwnedPartition mine, long attempt) {
        if (m.last.fencingToken() < FencingTokens.firstToken(mine.term()) || m.startsInAnswer.contains(attempt)) {
            return false;
        }
        Long sent = m.directStarts.get(attempt);
        if (sent == null || m.last.fencingToken() > sent) {
            return true;
        }
        raise(m, sent);
        return false;
    }

    /** The leader's list of machines and their addresses. */
    public void onMachineDirectory(List<MachineAddress> list, List<String> lateJobs, List<String> suspectJobs) {
        suspects.clear();
        suspects.addAll(suspectJobs);
        machines.values().forEach(this::uncordon);
        late.clear();
        late.addAll(lateJobs);
        machineDirectory.clear();
        list.forEach(a -> machineDirectory.put(a.machine(), a));
        sweptAt = Long.MIN_VALUE / 2;
    }

    /** Takes back what was held against a machine for jobs that fail everywhere; the news comes after their failures. */
    private void uncordon(MachineView m) {
        if (m.failedJobs.removeAll(suspects) && m.failedJobs.size() <= 1) {
            m.noBidsUntil = Long.MIN_VALUE;
            m.dirty = true;
        }
    }

    /** Whether the job fails wherever it runs, as far as is known here. */
    public boolean isSuspect(String job) {
        return suspects.contains(job);
    }

    /** A question for a report is over, answered or not. */
    public void onProbeEnded() {
        outbound.questionEnded();
    }

    /** A worker answered the question for its report; this doesn't renew its lease. */
    public void onProbeAnswer(long now, WorkerHeartbeat r) {
        reachability.heard(now);
        String partition = partitions.partitionOf(r.machine(), r.zone());
        OwnedPartition mine = owned.get(partition);
        if (mine == null || FencingTokens.partitionTermOf(r.fencingToken()) > mine.term()) {
            return;
        }
        MachineView m = machines.computeIfAbsent(
                r.machine(), id -> new MachineView(id, partition, FencingTokens.firstToken(mine.term())));
        m.answers = true;
        m.dirty = true;
        if (r.isNewerThan(m.last) && r.agentEpoch() > m.expiredEpoch) {
            m.fencingToken = Math.max(m.fencingToken, r.fencingToken());
            accept(now, m, r);
            m.lastHeartbeatAt = now;
            observe(now, m, mine);
        }
    }

    /** Asks machines that should report here and don't, as after a change of holder. */
    private void probe(long now) {
        for (MachineAddress a : machineDirectory.values()) {
            String partition = partitions.partitionOf(a.machine(), a.zone());
            OwnedPartition mine = owned.get(partition);
            MachineView m = machines.get(a.machine());
            if (mine == null || m != null && m.last != null && !silent(now, m)) {
                continue;
            }
            if (m == null) {
                m = new MachineView(a.machine(), partition, FencingTokens.firstToken(mine.term()));
                machines.put(a.machine(), m);
            }
            if (now - m.probedAt > Math.max(2000, config.heartbeatIntervalMs())) {
                m.probedAt = now;
                outbound.ask(a);
            }
        }
    }

    /** Sends the questions that there is room for; whoever reports meanwhile and hears this node needs none. */
    private void sendQuestions(long now) {
        for (MachineAddress a = next(now); a != null; a = next(now)) {
            effects.add(new OwnerEffect.ProbeWorker(a.machine(), a.address()));
        }
    }

    private MachineAddress next(long now) {
        return outbound.next(id -> {
            MachineView m = machines.get(id);
            return m != null && (!m.answers || silent(now, m));
        });
    }

    /** Asks a worker that reports whether it hears this node at all, until it has answered once in this term. */
    private void ask(long now, MachineView m, String address) {
        if (!m.answers && now - m.probedAt > ASK_AGAIN_MS) {
            m.probedAt = now;
            outbound.ask(new MachineAddress(m.id, address, PartitionMap.zoneOf(m.partition)));
            sendQuestions(now);
        }
    }

    private void accept(long now, MachineView m, WorkerHeartbeat r) {
        if (m.last != null && r.agentEpoch() > m.last.agentEpoch()) {
            m.runningSince.clear();
            m.startsInAnswer.clear();
            // A new session has a whole lease of its own. Without this a machine whose new session was first seen
            // in the answer to a command counted as dead by the old one's time, and its tasks ran twice.
            m.answeredAt = now;
        }
        Set<Long> seen = new HashSet<>();
        for (TaskStatus t : r.tasks()) {
            seen.add(t.attempt());
            JobView job = replica.job(t.task().job());
            if (t.state() == TaskState.RUNNING) {
                m.runningSince.putIfAbsent(t.attempt(), now);
            } else if (t.cause() == ExitCause.ERROR) {
                // A machine that fails its tasks at once always has room and the image: its bids would be the only
                // ones.
                // Failures of one job alone say nothing: it may have been submitted with a mistake.
                boolean suspect = suspects.contains(t.task().job());
                if (!suspect) {
                    m.failedJobs.add(t.task().job());
                }
                if (m.failed.add(t.attempt()) && !suspect && m.failedJobs.size() > 1) {
                    m.noBidsUntil = now + 8 * config.heartbeatIntervalMs();
                }
            } else if (t.exited() && t.cause() == ExitCause.DONE) {
                Long since = m.runningSince.remove(t.attempt());
                m.failedJobs.clear();
                if (since != null && job != null) {
                    estimator.completed(job.spec(), m.id, (now - since) / 1000.0);
                }
            }
        }
        m.runningSince.keySet().retainAll(seen);
        m.failed.retainAll(seen);
        m.directStarts.values().removeIf(fencingToken -> fencingToken < r.fencingToken());
        m.stopsSent.keySet().retainAll(seen);
        m.last = r;
        if (m.oursAt < 0
                && r.fencingToken() >= FencingTokens.firstToken(FencingTokens.partitionTermOf(m.fencingToken))) {
            // It has the token from an answer or a command of this term: it hears this node.
            m.oursAt = now;
            m.answers = true;
        }
    }

    /**
     * Finds placements that must not or can't run any more and surely don't: those of an earlier session, and
     * unwanted ones that the newest report lacks while nothing that could still start them is under way.
     */
    private void proveTerminated(MachineView m, OwnedPartition mine) {
        List<Placement> placed = replica.placements(m.id);
        Set<Long> attempts = new HashSet<>();
        for (Placement p : placed) {
            attempts.add(p.attempt());
            if (p.agentEpoch() <= m.expiredEpoch || m.last != null && p.agentEpoch() < m.last.agentEpoch()) {
                m.terminated.add(p.attempt());
                continue;
            }
            if (m.last == null
                    || p.agentEpoch() != m.last.agentEpoch()
                    || wanted(p)
                    || m.last.find(p.attempt()) != null) {
                continue;
            }
            if (settled(m, mine, p.attempt())) {
                m.terminated.add(p.attempt());
            }
        }
        m.terminated.retainAll(attempts);
    }

    /** A peer has cancelled a job for its user. A cancelled job stays cancelled, so its word is enough. */
    public void onCancelled(String job) {
        for (MachineView m : machines.values()) {
            for (Placement p : replica.placements(m.id)) {
                m.dirty |= p.task().job().equals(job);
            }
        }
        cancelledByPeers.add(job);
        if (cancelledByPeers.size() > config.cancellationsRemembered()) {
            Iterator<String> oldest = cancelledByPeers.iterator();
            oldest.next();
            oldest.remove();
        }
    }

    private boolean wanted(Placement p) {
        JobView job = replica.job(p.task().job());
        return job != null
                && job.live()
                && !cancelledByPeers.contains(p.task().job())
                && p.stop() == Placement.Stop.KEEP
                && !job.isFinished(p.task().index());
    }

    /** What brings the machine from its newest report to what is stored. */
    private List<WorkerCommand> commandsFor(long now, MachineView m, OwnedPartition mine, boolean answering) {
        List<WorkerCommand> commands = new ArrayList<>();
        Map<Long, Placement> placed = new HashMap<>();
        for (Placement p : replica.placements(m.id)) {
            placed.put(p.attempt(), p);
        }
        for (TaskStatus t : m.last.tasks()) {
            Placement p = placed.get(t.attempt());
            if (t.exited()) {
                if (p == null && answering && settled(m, mine, t.attempt())) {
                    commands.add(new WorkerCommand.Clear(t.task(), t.attempt()));
                }
            } else if (p == null || !wanted(p)) {
                double grace = p != null && p.stop() == Placement.Stop.CHECKPOINT ? checkpointGrace(t) : 0;
                if (t.state() != TaskState.CHECKPOINTING || grace == 0) {
                    commands.add(new WorkerCommand.Stop(t.task(), t.attempt(), grace));
                }
            }
        }
        for (Placement p : placed.values()) {
            if (wanted(p)
                    && p.agentEpoch() == m.last.agentEpoch()
                    && m.last.find(p.attempt()) == null
                    && !m.terminated.contains(p.attempt())
                    && !m.startsInAnswer.contains(p.attempt())) {
                commands.add(new WorkerCommand.Start(p.task(), p.attempt()));
            }
        }
        return commands;
    }

    private double checkpointGrace(TaskStatus t) {
        JobView job = replica.job(t.task().job());
        return job == null || !job.live() || !job.spec().writesCheckpoints()
                ? 0
                : job.spec().checkpointWriteS() * 1.5 + 1;
    }

    private boolean silent(long now, MachineView m) {
        return now - m.lastHeartbeatAt > config.heartbeatIntervalMs() * 3 / 2 + 2000;
    }

    /**
     * Goes over the machines of which something new is known, and now and then over those for which time alone may bring
     * something, the silent and those with anything left to do: sends what can't wait for a report, calls dead what is,
     * tells and bids.
     */
    public void tick(long now) {
        refreshPartitions(now);
        if (!entitled(now)) {
            return;
        }
        // By the replica, as whoever carries out the effects goes: a peer's word of a new leader may come before it.
        // What was
        // told then went to the old one, and the new one took machines at rest for silent and gave them back.
        if (!Objects.equals(notifiedLeader, replica.leader())) {
            notifiedLeader = replica.leader();
            forgetNotified();
        }
        for (String id : replica.takeChanged()) {
            MachineView m = machines.get(id);
            if (m != null) {
                m.dirty = true;
            } else {
                adopt(id);
            }
        }
        boolean sweep = now - sweptAt >= config.heartbeatIntervalMs() / 4;
        if (sweep) {
            sweptAt = now;
            // Time alone opens scarce types, ends pauses of machines that failed and moves the order of lines.
            offerDue = true;
            adoptPlaced();
            probe(now);
        }
        sendQuestions(now);
        listen(now);
        for (MachineView m : machines.values()) {
            if (m.dirty || sweep && (m.restless || silent(now, m))) {
                reconcileMachine(now, m, owned.get(m.partition));
            }
        }
        offer(now);
    }

    /** Finds out whether the workers are out of reach, and when they are back. */
    private void listen(long now) {
        if (!reachability.due(now)) {
            return;
        }
        int due = 0;
        for (MachineView m : machines.values()) {
            due += m.last != null && m.oursAt >= 0 && !silent(now, m) ? 1 : 0;
        }
        reachability.lookAt(now, due, owned.keySet());
        for (String id : reachability.toAsk(
                now,
                machineDirectory.keySet(),
                id -> partitions.partitionOf(id, machineDirectory.get(id).zone()))) {
            effects.add(new OwnerEffect.ProbeWorker(id, machineDirectory.get(id).address()));
            outbound.askAside();
        }
    }

    /** Whether no worker can reach this node, as far as it can tell; its blocks are better off elsewhere. */
    public boolean isolatedFromWorkers() {
        return reachability.isolatedFromWorkers();
    }

    private void reconcileMachine(long now, MachineView m, OwnedPartition mine) {
        offerDue |= m.dirty;
        m.dirty = false;
        m.restless = false;
        expire(now, m, mine);
        proveTerminated(m, mine);
        if (m.last != null && m.last.agentEpoch() > m.expiredEpoch) {
            evaluate(now, m);
            command(now, m, mine);
        }
        observe(now, m, mine);
    }

    private void evaluate(long now, MachineView m) {
        List<Estimator.UnderWay> running = new ArrayList<>();
        for (Map.Entry<Long, Long> e : m.runningSince.entrySet()) {
            TaskStatus t = m.last.find(e.getKey());
            JobView job = t == null ? null : replica.job(t.task().job());
            if (job != null && !t.exited()) {
                running.add(new Estimator.UnderWay(job.spec(), (now - e.getValue()) / 1000.0));
            }
        }
        estimator.evaluate(m.id, running);
    }

    /** Machines with placements that nobody has heard of in this term still have to be proved dead or alive. */
    private void adoptPlaced() {
        // Machines that were returned would be told of as silent for ever, and their holder be taken for deaf.
        machines.values()
                .removeIf(m -> (m.last == null || m.last.agentEpoch() <= m.expiredEpoch)
                        && replica.placements(m.id).isEmpty()
                        && !machineDirectory.containsKey(m.id));
        replica.placedMachines().forEach(this::adopt);
        capacities.retain(machines.keySet());
    }

    private void adopt(String id) {
        if (!machines.containsKey(id) && !replica.placements(id).isEmpty()) {
            String partition = partitions.partitionOf(id, replica.placedZone(id));
            OwnedPartition mine = owned.get(partition);
            if (mine != null) {
                machines.put(id, new MachineView(id, partition, FencingTokens.firstToken(mine.term())));
            }
        }
    }

    /**
     * Ends the session of a machine that can't have been answered for its whole lease. Until the worker has shown
     * this term's token an older holder may have answered it for the grace, hence the longer time.
     */
    private void expire(long now, MachineView m, OwnedPartition mine) {
        long until = mine.since() + config.fenceMs();
        if (m.oursAt >= 0) {
            until = Math.max(m.answeredAt, m.oursAt) + config.silentMs();
        } else {
            until = Math.max(until, m.answeredAt + config.silentMs());
        }
        if (now <= until) {
            return;
        }
        long agentEpoch = m.last == null ? Long.MAX_VALUE : m.last.agentEpoch();
        if (m.last == null) {
            // Never heard of in this term: whatever its session is, the stored placements are of it or older.
            for (Placement p : replica.placements(m.id)) {
                m.terminated.add(p.attempt());
            }
        } else if (m.expiredEpoch < agentEpoch) {
            m.expiredEpoch = agentEpoch;
        }
    }

    private void command(long now, MachineView m, OwnedPartition mine) {
        m.restless |= m.commandInFlight || m.unreachable();
        if (m.commandInFlight
                || silent(now, m)
                || m.lostFencingToken >= m.last.fencingToken()
                || !FencingTokens.sameTerm(m.fencingToken + 1, m.fencingToken)) {
            return;
        }
        List<WorkerCommand> commands = commandsFor(now, m, mine, false);
        m.restless |= !commands.isEmpty();
        commands.removeIf(o -> o instanceof WorkerCommand.Stop
                && m.stopsSent.getOrDefault(o.attempt(), 0L) > now - 2 * config.heartbeatIntervalMs());
        if (commands.isEmpty()) {
            return;
        }
        if (!outbound.command()) {
            m.dirty = true;
            return;
        }
        for (WorkerCommand o : commands) {
            if (o instanceof WorkerCommand.Start) {
                m.directStarts.put(o.attempt(), m.fencingToken);
            } else {
                m.stopsSent.put(o.attempt(), now);
            }
        }
        m.commandInFlight = true;
        effects.add(
                new OwnerEffect.SendCommands(m.id, m.last.address(), m.fencingToken, m.last.agentEpoch(), commands));
    }

    private void observe(long now, MachineView m, OwnedPartition mine) {
        if (m.last == null && m.terminated.isEmpty()) {
            return;
        }
        WorkerHeartbeat r = m.last;
        boolean silent =
                r == null || silent(now, m) || r.agentEpoch() <= m.expiredEpoch || !m.answers || m.unreachable();
        List<Long> terminated = List.copyOf(m.terminated);
        boolean news = !terminated.isEmpty();
        if (r != null) {
            for (Placement p : replica.placements(m.id)) {
                TaskStatus t = r.find(p.attempt());
                news |= t != null && t.exited();
            }
        }
        MachineStatus o = r == null
                ? new MachineStatus(
                        config.self(),
                        incarnation,
                        m.partition,
                        mine.term(),
                        m.id,
                        "",
                        "",
                        "",
                        false,
                        0,
                        null,
                        true,
                        List.of(),
                        terminated)
                : new MachineStatus(
                        config.self(),
                        incarnation,
                        m.partition,
                        mine.term(),
                        m.id,
                        r.address(),
                        r.type(),
                        r.zone(),
                        r.spot(),
                        r.agentEpoch(),
                        r.evictionNoticeS(),
                        silent,
                        r.tasks(),
                        terminated);
        m.restless |= news;
        // Repeats what the leader hasn't acted on yet: the first telling may have been lost with its connection.
        if (!o.equals(m.observed) || news && now - m.observedAt > 2000) {
            m.observed = o;
            m.observedAt = now;
            effects.add(new OwnerEffect.PublishStatus(o));
        }
    }

    /** Tells everything again, for a leader that is new or whose connection is. */
    public void resynchronize(long now) {
        forgetNotified();
        tick(now);
    }

    private void forgetNotified() {
        machines.values().forEach(m -> {
            m.observed = null;
            m.dirty = true;
        });
        lastBatch = null;
        sweptAt = Long.MIN_VALUE / 2;
        offeredAt = Long.MIN_VALUE / 2;
        offerDue = true;
    }

    /**
     * Sends the bids of this holder's machines when something that they hang on has changed, and not more often than
     * the windows that they are meant for can tell apart.
     */
    private void offer(long now) {
        if (!offerPending() || now - offeredAt < offerGapMs()) {
            return;
        }
        Map<String, Long> terms = new TreeMap<>();
        owned.forEach((b, h) -> terms.put(b, h.term()));
        if (terms.isEmpty()) {
            return;
        }
        offeredAt = now;
        offerDue = false;
        offeredRevision = replica.revision();
        List<JobView> waiting = JobQueue.sort(replica.jobs(), order, wallMs(now));
        for (String id : late) {
            JobView job = replica.job(id);
            if (job != null && job.live() && job.unstarted() == 0) {
                // Behind all that waits: a late bid is only for room that nobody else has a use for.
                waiting.add(job);
            }
        }
        List<Bid> bids = List.of();
        if (!waiting.isEmpty()) {
            QuotaUsage quota = QuotaUsage.of(config, replica);
            waiting.removeIf(j -> !quota.allows(j.spec()));
            scarcity.refresh(replica.types(), waiting);
            bids = new Bidding(replica, estimator, scarcity, wallMs(now), suspects)
                    .bids(waiting, bidders(now, waiting));
        }
        BidBatch batch = new BidBatch(config.self(), incarnation, replica.revision(), terms, bids);
        if (lastBatch == null
                || !lastBatch.bids().equals(bids)
                || !lastBatch.terms().equals(terms)
                || !waiting.isEmpty() && lastBatch.revision() != batch.revision()) {
            lastBatch = batch;
            effects.add(new OwnerEffect.SubmitBids(batch));
        }
    }

    private boolean offerPending() {
        return offerDue || offeredRevision != replica.revision();
    }

    private long offerGapMs() {
        return config.windowMs() / OFFERS_IN_WINDOW;
    }

    /** Milliseconds until bids that were put off are due, or -1. */
    public long nextOffer(long now) {
        return offerPending() && !owned.isEmpty() ? Math.max(1, offeredAt + offerGapMs() - now) : -1;
    }

    /** Machines that may bid, with what is free on them. */
    private List<Bidding.Bidder> bidders(long now, List<JobView> waiting) {
        double least = Double.MAX_VALUE;
        for (JobView j : waiting) {
            least = Math.min(least, j.spec().cpus());
        }
        List<Bidding.Bidder> list = new ArrayList<>();
        for (MachineView m : machines.values()) {
            WorkerHeartbeat r = m.last;
            MachineType type = r == null ? null : replica.type(r.type());
            if (type == null || !mayBid(now, m)) {
                continue;
            }
            FreeCapacity room = capacities.of(m.id, type);
            if (room.cpus() + MachineType.EPSILON < least) {
                continue;
            }
            room = room.copy();
            for (TaskStatus t : r.tasks()) {
                if (!t.exited() && !isPlaced(m.id, t.attempt())) {
                    JobView job = replica.job(t.task().job());
                    if (job != null) {
                        room.take(job.spec());
                    }
                }
            }
            list.add(new Bidding.Bidder(m.id, r.agentEpoch(), type, r.zone(), r.spot(), room));
        }
        return list;
    }

    private boolean mayBid(long now, MachineView m) {
        WorkerHeartbeat r = m.last;
        return r != null
                && !reachability.isolatedFromWorkers()
                && m.answers
                && !m.unreachable()
                && !silent(now, m)
                && r.agentEpoch() > m.expiredEpoch
                && r.evictionNoticeS() == null
                && now >= m.noBidsUntil;
    }

    private boolean isPlaced(String machine, long attempt) {
        for (Placement p : replica.placements(machine)) {
            if (p.attempt() == attempt) {
                return true;
            }
        }
        return false;
    }

    private long wallOffset;

    /** The difference between the time of day, which job records carry, and the steady clock. */
    public void wallClock(long offset) {
        wallOffset = offset;
    }

    private long wallMs(long now) {
        return now + wallOffset;
    }

    /** Machines in this node's blocks, for inspection. */
    public Collection<String> machineNames() {
        return machines.keySet();
    }
}
