package garnetscale.core.sim;

import garnetscale.core.cluster.ControllerInfo;
import garnetscale.core.state.KeyChange;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.Transaction;
import garnetscale.core.state.TransactionOutcome;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The link of a controller process to the state service: its session lease, the contents of its replica, and its transactions.
 */
final class SimulatedStateLink {

    private final SimulatedCluster cluster;
    private final SimulatedNode node;
    /** Id of the session lease; -1 without one. */
    private long lease = -1;
    /** Whether a listing of all keys is in progress. */
    private boolean listing;

    SimulatedStateLink(SimulatedCluster cluster, SimulatedNode node) {
        this.cluster = cluster;
        this.node = node;
    }

    boolean hasLease() {
        return lease >= 0;
    }

    /**
     * Sends a request; the answer is dropped if the process has crashed meanwhile or 2 s have passed.
     *
     * @param refused the answer if the state service refuses the request
     * @param lost    runs when there is no answer after 2 s
     */
    private <T> void send(Supplier<T> request, T refused, Consumer<T> receiver, Runnable lost) {
        int process = node.processNumber;
        boolean[] ended = new boolean[1];
        cluster.network.send(node.name, "state", () -> {
            T result = cluster.state.refuses(node.name) ? refused : request.get();
            Runnable answer = () -> cluster.network.send("state", node.name, () -> {
                if (node.processNumber == process && !ended[0]) {
                    ended[0] = true;
                    receiver.accept(result);
                }
            });
            long delayMs = cluster.state.answerDelayMs(node.name);
            if (delayMs > 0) {
                cluster.at(delayMs, answer);
            } else {
                answer.run();
            }
        });
        node.after(2000, () -> {
            if (node.processNumber == process && !ended[0]) {
                ended[0] = true;
                lost.run();
            }
        });
    }

    /** Watches for changes. The watch is answered after a change or after 3 s, and stays open while requests are refused. */
    void watch() {
        if (!cluster.watches || !node.replica.isLoaded() || listing) {
            return;
        }
        int process = node.processNumber;
        long sentAt = cluster.now;
        long since = node.replica.revision();
        cluster.network.send(
                node.name,
                "state",
                () -> awaitChanges(
                        since,
                        cluster.now + 3000,
                        answer -> cluster.network.send("state", node.name, () -> {
                            if (node.processNumber == process && !listing) {
                                node.replica.advance(answer.changes(), answer.revision());
                                if (!node.replica.isInconsistent()) {
                                    node.owner.onReplicaConfirmed(sentAt);
                                }
                            }
                        })));
    }

    private void awaitChanges(long since, long deadline, Consumer<ChangesAnswer> receiver) {
        List<KeyChange> changes =
                cluster.state.refuses(node.name) ? List.of() : cluster.state.model.changes(Keys.REPLICATED, since);
        if (cluster.state.refuses(node.name) || changes.isEmpty() && cluster.now < deadline) {
            if (cluster.state.refuses(node.name)) {
                cluster.countOccurrence("watch stayed open while requests were refused");
            }
            cluster.at(40, () -> awaitChanges(since, deadline, receiver));
        } else if (cluster.state.lateAnswerMs(node.name) > 0) {
            cluster.at(cluster.state.lateAnswerMs(node.name), () -> awaitChanges(since, deadline, receiver));
        } else {
            receiver.accept(new ChangesAnswer(changes, cluster.state.model.revision()));
        }
    }

    /** Requests a session lease, or renews the present one; drops one that has expired. */
    void renewLease() {
        if (node.replica.unreadable() != null) {
            cluster.countOccurrence("stored layout not supported");
            return;
        }
        if (lease < 0) {
            send(
                    () -> cluster.state.model.grantLease(cluster.now, 1500),
                    -1L,
                    id -> {
                        if (lease < 0 && id >= 0) {
                            lease = id;
                        }
                    },
                    () -> {});
            return;
        }
        long renewed = lease;
        send(
                () -> cluster.state.model.renewLease(cluster.now, renewed) ? 1 : 0,
                -1,
                ok -> {
                    if (ok == 0 && lease == renewed) {
                        lease = -1;
                        node.owner.onLeaseChanged(-1);
                        node.leader.onLeaseChanged(-1);
                    }
                },
                () -> {});
    }

    private record CommitAnswer(TransactionOutcome outcome, long revision) {}

    private record ChangesAnswer(List<KeyChange> changes, long revision) {}

    /** Reads the changes since the replica's revision; lists all keys if the replica isn't loaded or is inconsistent. */
    void readChanges() {
        if (listing) {
            return;
        }
        if (!node.replica.isLoaded() || node.replica.isInconsistent()) {
            listing = true;
            readPage(cluster.now, null, new ArrayList<>(), -1);
            return;
        }
        long sentAt = cluster.now;
        long since = node.replica.revision();
        send(
                () -> new ChangesAnswer(
                        cluster.state.model.changes(Keys.REPLICATED, since), cluster.state.model.revision()),
                new ChangesAnswer(null, 0),
                answer -> {
                    if (answer.changes() != null && !listing) {
                        node.replica.advance(answer.changes(), answer.revision());
                        if (!node.replica.isInconsistent()) {
                            node.owner.onReplicaConfirmed(sentAt);
                        }
                    }
                },
                () -> {});
    }

    /**
     * Reads a page of a listing; keys may change between two pages.
     *
     * @param sentAt        time at which the listing began, in milliseconds
     * @param after         the last key of the page before, or null for the first page
     * @param entries       the entries of all pages so far
     * @param firstRevision the revision of the first page, or -1 before it was read
     */
    private void readPage(long sentAt, String after, List<KeyChange> entries, long firstRevision) {
        send(
                () -> new ChangesAnswer(
                        cluster.state.model.list(Keys.REPLICATED, after, SimulatedCluster.PAGE_ENTRIES),
                        cluster.state.model.revision()),
                new ChangesAnswer(null, 0),
                answer -> {
                    if (answer.changes() == null) {
                        listing = false;
                        return;
                    }
                    entries.addAll(answer.changes());
                    long revision = firstRevision < 0 ? answer.revision() : firstRevision;
                    if (answer.changes().size() == SimulatedCluster.PAGE_ENTRIES) {
                        readPage(sentAt, entries.get(entries.size() - 1).key(), entries, revision);
                        return;
                    }
                    listing = false;
                    node.replica.reset(entries, revision);
                    if (node.replica.isLoaded()) {
                        node.owner.onReplicaConfirmed(sentAt);
                    }
                },
                () -> listing = false);
    }

    /**
     * Registers this process under its session lease, so that it can own partitions and stand for election. Passes the lease to
     * the roles once the replica shows the registration.
     */
    void register() {
        ControllerInfo registered = node.replica.controller(node.name);
        if (lease >= 0 && (registered == null || registered.incarnation() != lease)) {
            commit(
                    new Transaction()
                            .guard(Keys.controller(node.name), node.replica.modRevision(Keys.controller(node.name)))
                            .put(
                                    Keys.controller(node.name),
                                    Records.controller(new ControllerInfo(
                                            node.name,
                                            lease,
                                            cluster.shape.config(node.name).zoneOfController(node.name),
                                            node.layouts)),
                                    lease),
                    (outcome, revision) -> {});
        } else if (lease >= 0) {
            node.owner.onLeaseChanged(lease);
            node.leader.onLeaseChanged(lease);
        }
    }

    /** Commits a transaction; {@code done} receives the outcome, and the service's revision, or -1 if that isn't known. */
    void commit(Transaction transaction, BiConsumer<TransactionOutcome, Long> done) {
        if (!node.replica.isLoaded()) {
            done.accept(TransactionOutcome.REFUSED, -1L);
            return;
        }
        node.replica.guardVersion(transaction);
        cluster.decisionObserver.onTransaction(cluster.now, node.name, transaction);
        if (cluster.now < cluster.state.unansweredUntil
                && cluster.random.nextDouble() < cluster.state.unansweredShare) {
            int process = node.processNumber;
            cluster.at(
                    cluster.state.unansweredAppliedAtOnce
                            ? 1 + cluster.random.nextInt(5)
                            : 2000 + cluster.random.nextInt(10_000),
                    () -> cluster.countOccurrence(
                            cluster.now >= cluster.state.outageUntil && cluster.state.commit(node, transaction) == 200
                                    ? "applied without an answer"
                                    : "late transaction not applied"));
            node.after(2000, () -> {
                if (node.processNumber == process) {
                    done.accept(TransactionOutcome.UNKNOWN, -1L);
                }
            });
            return;
        }
        send(
                () -> {
                    int status = cluster.state.commit(node, transaction);
                    TransactionOutcome outcome = status == 200
                            ? TransactionOutcome.OK
                            : status == 409
                                    ? TransactionOutcome.CONFLICT
                                    : status == SimulatedStateService.TOO_MANY_REQUESTS
                                            ? TransactionOutcome.REFUSED
                                            : TransactionOutcome.NO_LEASE;
                    return new CommitAnswer(outcome, cluster.state.model.revision());
                },
                new CommitAnswer(TransactionOutcome.REFUSED, -1),
                answer -> done.accept(answer.outcome(), answer.revision()),
                () -> done.accept(TransactionOutcome.UNKNOWN, -1L));
    }
}
