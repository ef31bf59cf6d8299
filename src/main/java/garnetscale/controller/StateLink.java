package garnetscale.controller;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.partition.ControllerInfo;
import garnetscale.core.state.KeyChange;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.state.TransactionOutcome;
import garnetscale.net.HttpResult;
import garnetscale.net.TokenBucket;
import garnetscale.wire.StateCodec;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one way to the state service: keeps the process's lease and the replica, and sends everything else within
 * this node's part of the limits. Renewals go first; what can't be sent soon is refused at once.
 */
final class StateLink implements JobApi.Store {

    /** What the link tells the node. */
    interface Listener {
        void advanced();

        void confirmed(long sentAt);

        void leased(long lease);
    }

    /** The connection to the service, and time. */
    interface Io {
        /** Milliseconds of a steady clock. */
        long now();

        void after(long ms, Runnable run);

        /** Sends a request; {@code body} may be null. Calls back once. */
        void call(HttpMethod method, String path, byte[] body, long timeoutMs, Consumer<HttpResult> done);
    }

    private static final Logger LOG = LoggerFactory.getLogger(StateLink.class);
    private static final long TIMEOUT_MS = 2000;
    private static final long WATCH_MS = 5000;
    /** How often the replica is confirmed when nobody asks. */
    static final long CONFIRM_MS = 500;

    /** How often a store that can't be read is read again. */
    private static final long READ_AGAIN_MS = 2000;

    private static final int PAGE = 500;
    /** Parts of the limits that this node uses for itself: all nodes together stay below one. */
    private static final double WATCHES = 0.45;

    private static final double READS = 0.25;
    /** What may be saved up of a part of the changes, in seconds. */
    private static final double SAVED_S = 0.8;

    private static final double SUBMISSIONS_SAVED_S = 1.6;

    private final SchedulerConfig config;
    private final Io io;
    private final RandomGenerator random;
    private final StateReplica replica;
    private final Listener listener;
    private final TokenBucket watches;
    private final TokenBucket reads;
    private final TokenBucket writes;
    private final TokenBucket submissions;
    private final WriteRateAllocator shares;
    private List<Consumer<Boolean>> waiting = new ArrayList<>();
    private boolean syncing;
    private boolean syncQueued;
    private boolean listing;
    private long lease = -1;
    private boolean registering;
    private long confirmedAt;
    private boolean stopped;
    private long failingSince = -1;

    StateLink(SchedulerConfig config, Io io, RandomGenerator random, StateReplica replica, Listener listener) {
        this.config = config;
        this.io = io;
        this.random = random;
        this.replica = replica;
        this.listener = listener;
        long now = now();
        double node = config.stateRps() / config.controllers().size();
        this.watches = new TokenBucket(node * WATCHES, node * WATCHES, now);
        this.reads = new TokenBucket(node * READS, node * READS, now);
        this.shares = new WriteRateAllocator(config.stateWritesPerS());
        this.writes = new TokenBucket(shares.leaderPerS(), SAVED_S * shares.leaderPerS(), now);
        this.submissions = new TokenBucket(1, 1, now);
        this.confirmedAt = now - 1_000_000;
    }

    private long now() {
        return io.now();
    }

    void start() {
        acquire();
        list();
        every(config.controllerLeaseMs() / 4, this::renew);
        every(CONFIRM_MS, () -> sync(ok -> {}));
    }

    /** The process ends: connections that fail from now on are its own doing, and not worth a log line. */
    void stop() {
        stopped = true;
    }

    private void every(long ms, Runnable run) {
        io.after(ms, () -> {
            run.run();
            every(ms, run);
        });
    }

    /** What may be sent now of each part of the limits, and how much of it comes in a second. */
    Map<String, Object> budgets() {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("watches", budget(watches));
        all.put("reads", budget(reads));
        all.put("leader_changes", budget(writes));
        all.put("submissions", budget(submissions));
        return all;
    }

    private Map<String, Object> budget(TokenBucket budget) {
        return Map.of("available", budget.available(now()), "per_s", budget.perS());
    }

    /** How old the newest request is that the service answered. */
    long ageMs() {
        return now() - confirmedAt;
    }

    @Override
    public boolean failing() {
        return failingSince >= 0 && now() - failingSince > 300;
    }

    private void worked() {
        if (failing()) {
            LOG.info("state service answers again after {} ms", now() - failingSince);
        }
        failingSince = -1;
    }

    private void failed(String what, HttpResult r) {
        if (failingSince < 0 && !stopped) {
            failingSince = now();
            LOG.info("state service: {} failed, {} {}", what, r.outcome(), r.status());
        }
    }

    private void after(long ms, Runnable run) {
        io.after(ms / 2 + random.nextLong(ms / 2 + 1), run);
    }

    // ---- lease

    private void acquire() {
        io.call(HttpMethod.POST, "/holds", StateCodec.lease(config.controllerLeaseMs()), TIMEOUT_MS, r -> {
            if (!r.is(200)) {
                failed("lease", r);
                after(400, this::acquire);
                return;
            }
            try {
                lease = StateCodec.lease(r.body());
                worked();
                register();
            } catch (IOException e) {
                after(400, this::acquire);
            }
        });
    }

    /** Enters this process among the live ones; a late entry of an earlier process is overwritten. */
    private void register() {
        if (lease < 0 || registering || !replica.loaded() || registered()) {
            return;
        }
        registering = true;
        long mine = lease;
        String key = Keys.node(config.self());
        ControllerInfo info = new ControllerInfo(
                config.self(),
                mine,
                config.zoneOfNode(config.self()),
                config.features().layouts());
        send(
                new Transaction().guard(key, replica.modRevision(key)).put(key, Records.node(info), mine),
                (result, revision) -> {
                    registering = false;
                    if (result == TransactionOutcome.NO_LEASE && lease == mine) {
                        lost();
                    } else if (result == TransactionOutcome.OK) {
                        LOG.info("node {} is up as incarnation {}", config.self(), mine);
                    }
                    sync(ok -> register());
                });
    }

    private boolean registered() {
        ControllerInfo n = replica.node(config.self());
        return n != null && n.incarnation() == lease;
    }

    private void lost() {
        LOG.info("lease {} is lost", lease);
        lease = -1;
        listener.leased(-1);
        acquire();
    }

    private void renew() {
        // A controller that can't read what is stored decides nothing; its blocks go to others once its lease ends.
        if (lease < 0 || replica.unreadable() != null) {
            return;
        }
        long mine = lease;
        io.call(HttpMethod.POST, "/holds/" + mine + "/touch", null, config.controllerLeaseMs() / 2, r -> {
            if (mine != lease) {
                return;
            }
            if (r.is(404)) {
                lost();
            } else if (r.is(200)) {
                worked();
            } else {
                failed("renewal", r);
            }
        });
    }

    // ---- replica

    private void list() {
        listing = true;
        listPage("", new ArrayList<>(), -1);
    }

    private void listPage(String since, List<KeyChange> sofar, long revision) {
        String path = "/keys?starts=" + Keys.MIRRORED + "&limit=" + PAGE + (since.isEmpty() ? "" : "&since=" + since);
        long sentAt = now();
        io.call(HttpMethod.GET, path, null, 2 * TIMEOUT_MS, r -> {
            if (!r.is(200)) {
                failed("listing", r);
                after(500, () -> listPage(since, sofar, revision));
                return;
            }
            try {
                StateCodec.Batch b = StateCodec.listing(r.body());
                sofar.addAll(b.changes());
                long first = revision < 0 ? b.revision() : revision;
                if (b.more() && !b.changes().isEmpty()) {
                    listPage(b.changes().get(b.changes().size() - 1).key(), sofar, first);
                    return;
                }
                worked();
                replica.reset(sofar, first);
                if (replica.unreadable() != null) {
                    standAside();
                    return;
                }
                if (replica.inconsistent()) {
                    LOG.info("the listing is of several moments, it is read again");
                    after(300, this::list);
                    return;
                }
                listing = false;
                LOG.info("replica has {} keys as of revision {}", sofar.size(), first);
                if (revision < 0) {
                    confirm(sentAt);
                }
                advanced();
                watch();
                drainSync();
            } catch (IOException e) {
                after(500, this::list);
            }
        });
    }

    /** What is stored can't be read: nothing is decided, and it is read again, since operators may go back. */
    private void standAside() {
        if (!replica.unreadable().equals(reported)) {
            reported = replica.unreadable();
            LOG.error("can't read {}; this controller stands aside", reported);
        }
        after(READ_AGAIN_MS, this::list);
    }

    private void advanced() {
        boolean in = lease >= 0 && registered();
        if (in && listenerLease != lease) {
            listenerLease = lease;
            listener.leased(lease);
        }
        if (!in) {
            register();
        }
        listener.advanced();
    }

    private long listenerLease = -1;
    /** The record that was last said to be unreadable. */
    private String reported;

    private void confirm(long sentAt) {
        confirmedAt = Math.max(confirmedAt, sentAt);
        listener.confirmed(sentAt);
    }

    private void watch() {
        if (listing) {
            return;
        }
        long wait = watches.waitMs(now(), 1);
        if (wait > 0) {
            io.after(wait, this::watch);
            return;
        }
        watches.force(now(), 1);
        follow(WATCH_MS, WATCH_MS + TIMEOUT_MS, ok -> {
            if (!listing) {
                if (ok) {
                    watch();
                } else {
                    after(300, this::watch);
                }
            }
        });
    }

    private void follow(long waitMs, long timeoutMs, Consumer<Boolean> done) {
        long sentAt = now();
        String path = "/follow?starts=" + Keys.MIRRORED + "&since=" + replica.revision() + "&wait_ms=" + waitMs;
        io.call(HttpMethod.GET, path, null, timeoutMs, r -> {
            // Too old, or more than this process takes at once: a listing comes in pages.
            if (r.is(410) || r.outcome() == HttpResult.Outcome.TOO_LONG) {
                if (!listing) {
                    list();
                }
                done.accept(false);
                return;
            }
            if (!r.is(200)) {
                failed("follow", r);
                done.accept(false);
                return;
            }
            try {
                StateCodec.Batch b = StateCodec.log(r.body());
                worked();
                boolean news = !listing
                        && replica.advance(b.changes(), b.revision())
                        && !b.changes().isEmpty();
                if (!listing && replica.unreadable() != null) {
                    listing = true;
                    standAside();
                }
                if (!listing && replica.inconsistent()) {
                    LOG.info("the watch has lost entries, the replica is read anew");
                    list();
                }
                // A replica that is being listed anew isn't complete as of this answer.
                if (!listing) {
                    confirm(sentAt);
                    if (news || listenerLease != lease) {
                        advanced();
                    }
                }
                done.accept(!listing);
            } catch (IOException e) {
                done.accept(false);
            }
        });
    }

    /** False at once when it can't be asked. */
    @Override
    public void sync(Consumer<Boolean> done) {
        if (failing() && syncing) {
            done.accept(false);
            return;
        }
        waiting.add(done);
        drainSync();
    }

    private void drainSync() {
        if (syncing || syncQueued || waiting.isEmpty()) {
            return;
        }
        if (listing) {
            if (failing()) {
                List<Consumer<Boolean>> batch = waiting;
                waiting = new ArrayList<>();
                batch.forEach(d -> d.accept(false));
            }
            return;
        }
        long wait = watches.waitMs(now(), 1);
        if (wait > 0) {
            syncQueued = true;
            io.after(wait, () -> {
                syncQueued = false;
                drainSync();
            });
            return;
        }
        watches.force(now(), 1);
        syncing = true;
        List<Consumer<Boolean>> batch = waiting;
        waiting = new ArrayList<>();
        follow(0, 1500, ok -> {
            syncing = false;
            batch.forEach(d -> d.accept(ok));
            drainSync();
        });
    }

    // ---- reads and transactions

    @Override
    public void whenReadable(Runnable run) {
        long wait = reads.waitMs(now(), 1);
        if (wait > 0) {
            io.after(wait, () -> whenReadable(run));
        } else {
            run.run();
        }
    }

    @Override
    public void present(List<String> keys, Consumer<Set<String>> done) {
        reads.force(now(), 1);
        Transaction transaction = new Transaction();
        keys.forEach(k -> transaction.guard(k, 0));
        io.call(HttpMethod.POST, "/multi", StateCodec.transaction(transaction), 1500, r -> {
            try {
                done.accept(r.is(200) ? Set.of() : r.is(409) ? StateCodec.failed(r.body()) : null);
            } catch (IOException e) {
                done.accept(null);
            }
        });
    }

    @Override
    public void get(String key, BiConsumer<Boolean, Object> done) {
        reads.force(now(), 1);
        io.call(HttpMethod.GET, "/keys/" + key, null, 1500, r -> {
            try {
                if (r.is(200)) {
                    done.accept(true, StateCodec.value(r.body()));
                } else {
                    done.accept(r.is(404), null);
                }
            } catch (IOException e) {
                done.accept(false, null);
            }
        });
    }

    /** A leader's transaction; waits for its turn within the limits. */
    void lead(Transaction transaction, BiConsumer<TransactionOutcome, Long> done) {
        if (shares.observe(now(), replica.jobsAdded())) {
            writes.resize(shares.leaderPerS(), SAVED_S * shares.leaderPerS());
        }
        long wait = writes.waitMs(now(), transaction.ops().size());
        if (wait > 0) {
            io.after(wait, () -> lead(transaction, done));
            return;
        }
        writes.force(now(), transaction.ops().size());
        send(transaction, done);
    }

    @Override
    public void submit(Transaction transaction, BiConsumer<TransactionOutcome, Long> done) {
        double mine = shares.submissionsPerS(replica.nodes().size());
        submissions.resize(mine, SUBMISSIONS_SAVED_S * mine);
        if (!submissions.take(now(), transaction.ops().size())) {
            done.accept(TransactionOutcome.REFUSED, -1L);
            return;
        }
        send(transaction, done);
    }

    /**
     * A transaction that can't wait, such as an election. Like every change it fails where another version of what is stored
     * has become active than the replica shows, and isn't sent at all by a controller that can't read what is stored.
     */
    void send(Transaction transaction, BiConsumer<TransactionOutcome, Long> done) {
        if (!replica.loaded()) {
            done.accept(TransactionOutcome.REFUSED, -1L);
            return;
        }
        replica.guardVersion(transaction);
        io.call(HttpMethod.POST, "/multi", StateCodec.transaction(transaction), TIMEOUT_MS, r -> {
            try {
                if (r.is(200)) {
                    worked();
                    done.accept(TransactionOutcome.OK, StateCodec.revision(r.body()));
                } else if (r.is(409)) {
                    worked();
                    done.accept(TransactionOutcome.CONFLICT, StateCodec.revision(r.body()));
                } else if (r.is(400)) {
                    LOG.debug("refused as malformed: {}", transaction);
                    done.accept(TransactionOutcome.NO_LEASE, -1L);
                } else if (r.outcome() == HttpResult.Outcome.NO_ANSWER || r.maybe()) {
                    failed("transaction", r);
                    done.accept(TransactionOutcome.MAYBE, -1L);
                } else {
                    if (!r.is(429)) {
                        failed("transaction", r);
                    } else {
                        LOG.debug("state service: over the limit");
                    }
                    done.accept(TransactionOutcome.REFUSED, -1L);
                }
            } catch (IOException e) {
                done.accept(TransactionOutcome.MAYBE, -1L);
            }
        });
    }
}
