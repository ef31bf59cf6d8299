package garnetscale.core.block;

import garnetscale.core.Params;
import garnetscale.core.bid.Bid;
import garnetscale.core.bid.BidBatch;
import garnetscale.core.bid.Bidding;
import garnetscale.core.bid.Estimator;
import garnetscale.core.line.JobOrder;
import garnetscale.core.line.JobQueue;
import garnetscale.core.line.Scarcity;
import garnetscale.core.machine.Address;
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.machine.Report;
import garnetscale.core.machine.ReportedTask;
import garnetscale.core.machine.TaskState;
import garnetscale.core.machine.WorkerCommand;
import garnetscale.core.quota.QuotaBook;
import garnetscale.core.store.FreeCapacityCache;
import garnetscale.core.store.JobView;
import garnetscale.core.store.StateReplica;
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
 * started, and one that must not run any more is called gone only on proof (see {@link #proveGone}).
 */
public final class BlockHolder {

    /** How the holder answers a report. */
    public sealed interface Reply {
        /** Accepted: the token and the commands that the worker gets. */
        record Answer(long token, List<WorkerCommand> orders) implements Reply {}

        /** Another node is responsible; null when nobody is known to be. */
        record Redirect(String node) implements Reply {}

        /** Not entitled to act at the moment, or the report was overtaken. */
        record Refuse(String why) implements Reply {}
    }

    /** What the holder wants done outside. */
    public sealed interface Effect {
        /** Send commands to a worker directly. */
        record Command(String machine, String address, long token, long shift, List<WorkerCommand> orders)
                implements Effect {}

        /** Ask the worker for its report: it would only come here by itself when its next one is due. */
        record Probe(String machine, String address) implements Effect {}

        /** Notify the leader of what was observed of a machine. */
        record Tell(Observation observation) implements Effect {}

        /** Send the bids of this holder's machines to the leader. */
        record Offer(BidBatch batch) implements Effect {}
    }

    private record Held(long term, long since) {}

    /** Sheets that fit into a window: often enough to close it early, and not for each change of a busy moment. */
    private static final int OFFERS_IN_WINDOW = 6;

    /** As long as an answer to such a question is waited for. */
    private static final long ASK_AGAIN_MS = 2000;

    private final Params params;
    private final StateReplica replica;
    private final Blocks blocks;
    private final Estimator estimator;
    private final JobOrder order;
    private final Scarcity scarcity;
    private final Map<String, Held> held = new TreeMap<>();
    private final Map<String, MachineView> machines = new TreeMap<>();
    private final List<Effect> effects = new ArrayList<>();
    private final Map<String, Address> book = new TreeMap<>();
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
    private final Outbound outbound;
    private final Reachability reachability;
    private long sweptAt = Long.MIN_VALUE / 2;
    private long offeredAt = Long.MIN_VALUE / 2;
    private boolean offerDue = true;
    private long offeredLedger = -1;
    private LeaderInfo notifiedLeader;

    public BlockHolder(Params params, StateReplica replica, Blocks blocks, Estimator estimator) {
        this.params = params;
        this.replica = replica;
        this.blocks = blocks;
        this.estimator = estimator;
        this.order = new JobOrder(params);
        this.scarcity = new Scarcity(params);
        this.capacities = new FreeCapacityCache(replica);
        this.outbound = new Outbound(params.directAtOnce());
        this.reachability = new Reachability(params);
    }

    public List<Effect> drain() {
        List<Effect> out = List.copyOf(effects);
        effects.clear();
        return out;
    }

    /** The process has a (new) state lease; what it held under an earlier one is no longer its own. */
    public void incarnate(long lease) {
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
        return now - confirmedAt <= params.graceMs();
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
    private void refreshBlocks(long now) {
        for (String block : blocks.all()) {
            BlockLease lease = replica.block(block);
            Held mine = held.get(block);
            boolean ours = lease != null && lease.holder().equals(params.self()) && lease.incarnation() == incarnation;
            if (!ours && mine != null || ours && mine != null && mine.term() != lease.term()) {
                held.remove(block);
                outbound.clearQuestions();
                machines.values().removeIf(m -> m.block.equals(block));
                mine = null;
            }
            if (ours && mine == null) {
                held.put(block, new Held(lease.term(), now));
                sweptAt = Long.MIN_VALUE / 2;
            }
        }
    }

    public Reply onReport(long now, Report r) {
        reachability.heard(now);
        refreshBlocks(now);
        String block = blocks.blockOf(r.machine(), r.zone());
        Held mine = held.get(block);
        if (mine == null) {
            BlockLease lease = replica.block(block);
            return new Reply.Redirect(lease == null || lease.holder().equals(params.self()) ? null : lease.holder());
        }
        if (!entitled(now)) {
            return new Reply.Refuse("term not confirmed within the grace");
        }
        MachineView m =
                machines.computeIfAbsent(r.machine(), id -> new MachineView(id, block, Terms.firstToken(mine.term())));
        if (!r.isNewerThan(m.last) || r.shift() <= m.lapsedShift) {
            return new Reply.Refuse("report overtaken");
        }
        if (r.token() > m.token) {
            if (Terms.blockTermOf(r.token()) != mine.term()) {
                return new Reply.Refuse("the worker has seen a newer term");
            }
            m.token = r.token();
        }
        m.startsInAnswer.clear();
        boolean couldBid = mayBid(now, m);
        boolean alike = m.last != null && m.last.saysTheSame(r);
        accept(now, m, r);
        m.lastReportAt = now;
        proveGone(m, mine);
        List<WorkerCommand> orders = orders(now, m, mine, true);
        m.answeredAt = now;
        for (WorkerCommand o : orders) {
            if (o instanceof WorkerCommand.Start s) {
                m.startsInAnswer.add(s.attempt());
            }
        }
        ask(now, m, r.address());
        // All that going over the machine would do is done, but for what only a command can: that is due when the
        // answer is
        // lost. Most reports bring nothing new, and bids are made anew only for those that do.
        m.dirty = false;
        m.restless = !orders.isEmpty() || m.commandInFlight || m.unreachable();
        observe(now, m, mine);
        judge(now, m);
        offerDue |= !alike || couldBid != mayBid(now, m);
        return new Reply.Answer(m.token, orders);
    }

    /** A direct command was answered, with 200 or 409, by the worker's report. */
    public void onCommandAnswer(long now, String machine, long token, Report r) {
        reachability.heard(now);
        outbound.commandEnded();
        MachineView m = machines.get(machine);
        if (m == null || !m.commandInFlight) {
            return;
        }
        m.commandInFlight = false;
        m.answers = true;
        m.dirty = true;
        if (r.isNewerThan(m.last) && r.shift() > m.lapsedShift) {
            accept(now, m, r);
            m.lastReportAt = now;
        }
        Held mine = held.get(m.block);
        if (mine != null) {
            observe(now, m, mine);
        }
    }

    /**
     * A direct command went unanswered: it may still arrive, minutes from now. From here on the machine gets a
     * higher token, and nothing more is sent directly until a report shows it.
     */
    public void onCommandLost(long now, String machine, long token) {
        outbound.commandEnded();
        MachineView m = machines.get(machine);
        if (m == null || !m.commandInFlight) {
            return;
        }
        m.commandInFlight = false;
        m.dirty = true;
        m.lostToken = Math.max(m.lostToken, token);
        raise(m, token);
    }

    /** Moves a machine's token above the given one; when a term's tokens are used up it stays where it is. */
    private static void raise(MachineView m, long above) {
        if (m.token <= above && Terms.sameTerm(above + 1, above)) {
            m.token = above + 1;
        }
    }

    /**
     * Whether no start of the attempt can take effect any more that the newest report doesn't show already. A
     * direct command may come late and may come twice, answered or not; only a worker that has seen a higher
     * token than the command's refuses it. Without this a copy of a start that arrives after the clear would run
     * the task a second time. Starts in the answer to a report are dropped after four seconds and so before the
     * next report. What older holders sent is behind this term's first token.
     */
    private boolean settled(MachineView m, Held mine, long attempt) {
        if (m.last.token() < Terms.firstToken(mine.term()) || m.startsInAnswer.contains(attempt)) {
            return false;
        }
        Long sent = m.directStarts.get(attempt);
        if (sent == null || m.last.token() > sent) {
            return true;
        }
        raise(m, sent);
        return false;
    }

    /** The leader's list of machines and their addresses. */
    public void onBook(List<Address> list, List<String> lateJobs, List<String> suspectJobs) {
        suspects.clear();
        suspects.addAll(suspectJobs);
        machines.values().forEach(this::forgive);
        late.clear();
        late.addAll(lateJobs);
        book.clear();
        list.forEach(a -> book.put(a.machine(), a));
        sweptAt = Long.MIN_VALUE / 2;
    }

    /** Takes back what was held against a machine for jobs that fail everywhere; the news comes after their failures. */
    private void forgive(MachineView m) {
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
    public void onProbeAnswer(long now, Report r) {
        reachability.heard(now);
        String block = blocks.blockOf(r.machine(), r.zone());
        Held mine = held.get(block);
        if (mine == null || Terms.blockTermOf(r.token()) > mine.term()) {
            return;
        }
        MachineView m =
                machines.computeIfAbsent(r.machine(), id -> new MachineView(id, block, Terms.firstToken(mine.term())));
        m.answers = true;
        m.dirty = true;
        if (r.isNewerThan(m.last) && r.shift() > m.lapsedShift) {
            m.token = Math.max(m.token, r.token());
            accept(now, m, r);
            m.lastReportAt = now;
            observe(now, m, mine);
        }
    }

    /** Asks machines that should report here and don't, as after a change of holder. */
    private void probe(long now) {
        for (Address a : book.values()) {
            String block = blocks.blockOf(a.machine(), a.zone());
            Held mine = held.get(block);
            MachineView m = machines.get(a.machine());
            if (mine == null || m != null && m.last != null && !silent(now, m)) {
                continue;
            }
            if (m == null) {
                m = new MachineView(a.machine(), block, Terms.firstToken(mine.term()));
                machines.put(a.machine(), m);
            }
            if (now - m.probedAt > Math.max(2000, params.reportMs())) {
                m.probedAt = now;
                outbound.ask(a);
            }
        }
    }

    /** Sends the questions that there is room for; whoever reports meanwhile and hears this node needs none. */
    private void sendQuestions(long now) {
        for (Address a = next(now); a != null; a = next(now)) {
            effects.add(new Effect.Probe(a.machine(), a.address()));
        }
    }

    private Address next(long now) {
        return outbound.next(id -> {
            MachineView m = machines.get(id);
            return m != null && (!m.answers || silent(now, m));
        });
    }

    /** Asks a worker that reports whether it hears this node at all, until it has answered once in this term. */
    private void ask(long now, MachineView m, String address) {
        if (!m.answers && now - m.probedAt > ASK_AGAIN_MS) {
            m.probedAt = now;
            outbound.ask(new Address(m.id, address, Blocks.zoneOf(m.block)));
            sendQuestions(now);
        }
    }

    private void accept(long now, MachineView m, Report r) {
        if (m.last != null && r.shift() > m.last.shift()) {
            m.runningSince.clear();
            m.startsInAnswer.clear();
            // A new session has a whole lease of its own. Without this a machine whose new session was first seen
            // in the answer to a command counted as dead by the old one's time, and its tasks ran twice.
            m.answeredAt = now;
        }
        Set<Long> seen = new HashSet<>();
        for (ReportedTask t : r.tasks()) {
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
                    m.noBidsUntil = now + 8 * params.reportMs();
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
        m.directStarts.values().removeIf(token -> token < r.token());
        m.stopsSent.keySet().retainAll(seen);
        m.last = r;
        if (m.oursAt < 0 && r.token() >= Terms.firstToken(Terms.blockTermOf(m.token))) {
            // It has the token from an answer or a command of this term: it hears this node.
            m.oursAt = now;
            m.answers = true;
        }
    }

    /**
     * Finds placements that must not or can't run any more and surely don't: those of an earlier session, and
     * unwanted ones that the newest report lacks while nothing that could still start them is under way.
     */
    private void proveGone(MachineView m, Held mine) {
        List<Placement> placed = replica.placements(m.id);
        Set<Long> attempts = new HashSet<>();
        for (Placement p : placed) {
            attempts.add(p.attempt());
            if (p.shift() <= m.lapsedShift || m.last != null && p.shift() < m.last.shift()) {
                m.gone.add(p.attempt());
                continue;
            }
            if (m.last == null || p.shift() != m.last.shift() || wanted(p) || m.last.find(p.attempt()) != null) {
                continue;
            }
            if (settled(m, mine, p.attempt())) {
                m.gone.add(p.attempt());
            }
        }
        m.gone.retainAll(attempts);
    }

    /** A peer has cancelled a job for its user. A cancelled job stays cancelled, so its word is enough. */
    public void onCancelled(String job) {
        for (MachineView m : machines.values()) {
            for (Placement p : replica.placements(m.id)) {
                m.dirty |= p.task().job().equals(job);
            }
        }
        cancelledByPeers.add(job);
        if (cancelledByPeers.size() > params.cancellationsRemembered()) {
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
    private List<WorkerCommand> orders(long now, MachineView m, Held mine, boolean answering) {
        List<WorkerCommand> orders = new ArrayList<>();
        Map<Long, Placement> placed = new HashMap<>();
        for (Placement p : replica.placements(m.id)) {
            placed.put(p.attempt(), p);
        }
        for (ReportedTask t : m.last.tasks()) {
            Placement p = placed.get(t.attempt());
            if (t.exited()) {
                if (p == null && answering && settled(m, mine, t.attempt())) {
                    orders.add(new WorkerCommand.Clear(t.task(), t.attempt()));
                }
            } else if (p == null || !wanted(p)) {
                double grace = p != null && p.stop() == Placement.Stop.SAVE ? saveGrace(t) : 0;
                if (t.state() != TaskState.SAVING || grace == 0) {
                    orders.add(new WorkerCommand.Stop(t.task(), t.attempt(), grace));
                }
            }
        }
        for (Placement p : placed.values()) {
            if (wanted(p)
                    && p.shift() == m.last.shift()
                    && m.last.find(p.attempt()) == null
                    && !m.gone.contains(p.attempt())
                    && !m.startsInAnswer.contains(p.attempt())) {
                orders.add(new WorkerCommand.Start(p.task(), p.attempt()));
            }
        }
        return orders;
    }

    private double saveGrace(ReportedTask t) {
        JobView job = replica.job(t.task().job());
        return job == null || !job.live() || !job.spec().savesProgress()
                ? 0
                : job.spec().saveS() * 1.5 + 1;
    }

    private boolean silent(long now, MachineView m) {
        return now - m.lastReportAt > params.reportMs() * 3 / 2 + 2000;
    }

    /**
     * Goes over the machines of which something new is known, and now and then over those for which time alone may bring
     * something, the silent and those with anything left to do: sends what can't wait for a report, calls dead what is,
     * tells and bids.
     */
    public void tick(long now) {
        refreshBlocks(now);
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
        boolean sweep = now - sweptAt >= params.reportMs() / 4;
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
                goOver(now, m, held.get(m.block));
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
        reachability.lookAt(now, due, held.keySet());
        for (String id : reachability.toAsk(
                now, book.keySet(), id -> blocks.blockOf(id, book.get(id).zone()))) {
            effects.add(new Effect.Probe(id, book.get(id).address()));
            outbound.askAside();
        }
    }

    /** Whether no worker can reach this node, as far as it can tell; its blocks are better off elsewhere. */
    public boolean deaf() {
        return reachability.deaf();
    }

    private void goOver(long now, MachineView m, Held mine) {
        offerDue |= m.dirty;
        m.dirty = false;
        m.restless = false;
        lapse(now, m, mine);
        proveGone(m, mine);
        if (m.last != null && m.last.shift() > m.lapsedShift) {
            judge(now, m);
            command(now, m, mine);
        }
        observe(now, m, mine);
    }

    private void judge(long now, MachineView m) {
        List<Estimator.UnderWay> running = new ArrayList<>();
        for (Map.Entry<Long, Long> e : m.runningSince.entrySet()) {
            ReportedTask t = m.last.find(e.getKey());
            JobView job = t == null ? null : replica.job(t.task().job());
            if (job != null && !t.exited()) {
                running.add(new Estimator.UnderWay(job.spec(), (now - e.getValue()) / 1000.0));
            }
        }
        estimator.judge(m.id, running);
    }

    /** Machines with placements that nobody has heard of in this term still have to be proved dead or alive. */
    private void adoptPlaced() {
        // Machines that were returned would be told of as silent for ever, and their holder be taken for deaf.
        machines.values()
                .removeIf(m -> (m.last == null || m.last.shift() <= m.lapsedShift)
                        && replica.placements(m.id).isEmpty()
                        && !book.containsKey(m.id));
        replica.placedMachines().forEach(this::adopt);
        capacities.retain(machines.keySet());
    }

    private void adopt(String id) {
        if (!machines.containsKey(id) && !replica.placements(id).isEmpty()) {
            String block = blocks.blockOf(id, replica.placedZone(id));
            Held mine = held.get(block);
            if (mine != null) {
                machines.put(id, new MachineView(id, block, Terms.firstToken(mine.term())));
            }
        }
    }

    /**
     * Ends the session of a machine that can't have been answered for its whole lease. Until the worker has shown
     * this term's token an older holder may have answered it for the grace, hence the longer time.
     */
    private void lapse(long now, MachineView m, Held mine) {
        long until = mine.since() + params.fenceMs();
        if (m.oursAt >= 0) {
            until = Math.max(m.answeredAt, m.oursAt) + params.silentMs();
        } else {
            until = Math.max(until, m.answeredAt + params.silentMs());
        }
        if (now <= until) {
            return;
        }
        long shift = m.last == null ? Long.MAX_VALUE : m.last.shift();
        if (m.last == null) {
            // Never heard of in this term: whatever its session is, the stored placements are of it or older.
            for (Placement p : replica.placements(m.id)) {
                m.gone.add(p.attempt());
            }
        } else if (m.lapsedShift < shift) {
            m.lapsedShift = shift;
        }
    }

    private void command(long now, MachineView m, Held mine) {
        m.restless |= m.commandInFlight || m.unreachable();
        if (m.commandInFlight
                || silent(now, m)
                || m.lostToken >= m.last.token()
                || !Terms.sameTerm(m.token + 1, m.token)) {
            return;
        }
        List<WorkerCommand> orders = orders(now, m, mine, false);
        m.restless |= !orders.isEmpty();
        orders.removeIf(o -> o instanceof WorkerCommand.Stop
                && m.stopsSent.getOrDefault(o.attempt(), 0L) > now - 2 * params.reportMs());
        if (orders.isEmpty()) {
            return;
        }
        if (!outbound.command()) {
            m.dirty = true;
            return;
        }
        for (WorkerCommand o : orders) {
            if (o instanceof WorkerCommand.Start) {
                m.directStarts.put(o.attempt(), m.token);
            } else {
                m.stopsSent.put(o.attempt(), now);
            }
        }
        m.commandInFlight = true;
        effects.add(new Effect.Command(m.id, m.last.address(), m.token, m.last.shift(), orders));
    }

    private void observe(long now, MachineView m, Held mine) {
        if (m.last == null && m.gone.isEmpty()) {
            return;
        }
        Report r = m.last;
        boolean silent = r == null || silent(now, m) || r.shift() <= m.lapsedShift || !m.answers || m.unreachable();
        List<Long> gone = List.copyOf(m.gone);
        boolean news = !gone.isEmpty();
        if (r != null) {
            for (Placement p : replica.placements(m.id)) {
                ReportedTask t = r.find(p.attempt());
                news |= t != null && t.exited();
            }
        }
        Observation o = r == null
                ? new Observation(
                        params.self(),
                        incarnation,
                        m.block,
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
                        gone)
                : new Observation(
                        params.self(),
                        incarnation,
                        m.block,
                        mine.term(),
                        m.id,
                        r.address(),
                        r.type(),
                        r.zone(),
                        r.spot(),
                        r.shift(),
                        r.noticeS(),
                        silent,
                        r.tasks(),
                        gone);
        m.restless |= news;
        // Repeats what the leader hasn't acted on yet: the first telling may have been lost with its connection.
        if (!o.equals(m.observed) || news && now - m.observedAt > 2000) {
            m.observed = o;
            m.observedAt = now;
            effects.add(new Effect.Tell(o));
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
        held.forEach((b, h) -> terms.put(b, h.term()));
        if (terms.isEmpty()) {
            return;
        }
        offeredAt = now;
        offerDue = false;
        offeredLedger = replica.ledger();
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
            QuotaBook quota = QuotaBook.of(params, replica);
            waiting.removeIf(j -> !quota.allows(j.spec()));
            scarcity.refresh(replica.types(), waiting);
            bids = new Bidding(replica, estimator, scarcity, wallMs(now), suspects)
                    .bids(waiting, bidders(now, waiting));
        }
        BidBatch batch = new BidBatch(params.self(), incarnation, replica.ledger(), terms, bids);
        if (lastBatch == null
                || !lastBatch.bids().equals(bids)
                || !lastBatch.terms().equals(terms)
                || !waiting.isEmpty() && lastBatch.ledger() != batch.ledger()) {
            lastBatch = batch;
            effects.add(new Effect.Offer(batch));
        }
    }

    private boolean offerPending() {
        return offerDue || offeredLedger != replica.ledger();
    }

    private long offerGapMs() {
        return params.windowMs() / OFFERS_IN_WINDOW;
    }

    /** Milliseconds until bids that were put off are due, or -1. */
    public long nextOffer(long now) {
        return offerPending() && !held.isEmpty() ? Math.max(1, offeredAt + offerGapMs() - now) : -1;
    }

    /** Machines that may bid, with what is free on them. */
    private List<Bidding.Bidder> bidders(long now, List<JobView> waiting) {
        double least = Double.MAX_VALUE;
        for (JobView j : waiting) {
            least = Math.min(least, j.spec().cpus());
        }
        List<Bidding.Bidder> list = new ArrayList<>();
        for (MachineView m : machines.values()) {
            Report r = m.last;
            MachineType type = r == null ? null : replica.type(r.type());
            if (type == null || !mayBid(now, m)) {
                continue;
            }
            FreeCapacity room = capacities.of(m.id, type);
            if (room.cpus() + MachineType.EPSILON < least) {
                continue;
            }
            room = room.copy();
            for (ReportedTask t : r.tasks()) {
                if (!t.exited() && !isPlaced(m.id, t.attempt())) {
                    JobView job = replica.job(t.task().job());
                    if (job != null) {
                        room.take(job.spec());
                    }
                }
            }
            list.add(new Bidding.Bidder(m.id, r.shift(), type, r.zone(), r.spot(), room));
        }
        return list;
    }

    private boolean mayBid(long now, MachineView m) {
        Report r = m.last;
        return r != null
                && !reachability.deaf()
                && m.answers
                && !m.unreachable()
                && !silent(now, m)
                && r.shift() > m.lapsedShift
                && r.noticeS() == null
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
