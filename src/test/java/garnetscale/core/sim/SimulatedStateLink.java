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

/** A controller process's link to the key-value store: its lease, the replica's listing and changes, transactions. */
final class SimulatedStateLink {

    private final SimulatedCluster cluster;
    private final SimulatedNode node;
    private long lease = -1;
    private boolean listing;

    SimulatedStateLink(SimulatedCluster cluster, SimulatedNode node) {
        this.cluster = cluster;
        this.node = node;
    }

    boolean hasLease() {
        return lease >= 0;
    }

    /** Sends a request; the answer is dropped if the process has crashed or the time is over. */
    private <T> void ask(Supplier<T> request, T refused, Consumer<T> receiver, Runnable lost) {
        int process = node.life;
        boolean[] ended = new boolean[1];
        cluster.network.send(node.name, "state", () -> {
            T result = cluster.state.refuses(node.name) ? refused : request.get();
            Runnable back = () -> cluster.network.send("state", node.name, () -> {
                if (node.life == process && !ended[0]) {
                    ended[0] = true;
                    receiver.accept(result);
                }
            });
            if (cluster.now < cluster.state.slowUntil) {
                cluster.at(cluster.random.nextInt(cluster.state.slowMs), back);
            } else {
                back.run();
            }
        });
        node.after(2000, () -> {
            if (node.life == process && !ended[0]) {
                ended[0] = true;
                lost.run();
            }
        });
    }

    /** Watches for changes: answered when something has changed or its time is over; stays open while requests are refused. */
    void watch() {
        if (!cluster.watches || !node.replica.isLoaded() || listing) {
            return;
        }
        int process = node.life;
        long sentAt = cluster.now;
        long since = node.replica.revision();
        cluster.network.send(
                node.name,
                "state",
                () -> hangOpen(
                        since,
                        cluster.now + 3000,
                        answer -> cluster.network.send("state", node.name, () -> {
                            if (node.life == process && !listing) {
                                node.replica.advance(answer.changes(), answer.revision());
                                if (!node.replica.isInconsistent()) {
                                    node.owner.onReplicaConfirmed(sentAt);
                                }
                            }
                        })));
    }

    private void hangOpen(long since, long until, Consumer<Answer> receiver) {
        List<KeyChange> changes =
                cluster.state.refuses(node.name) ? List.of() : cluster.state.model.changes(Keys.REPLICATED, since);
        if (cluster.state.refuses(node.name) || changes.isEmpty() && cluster.now < until) {
            if (cluster.state.refuses(node.name)) {
                cluster.countOccurrence("a watch hung open through a refusal");
            }
            cluster.at(40, () -> hangOpen(since, until, receiver));
        } else {
            receiver.accept(new Answer(changes, cluster.state.model.revision()));
        }
    }

    /** Asks for a lease, or renews it; forgets it when it has expired. */
    void renew() {
        if (node.replica.unreadable() != null) {
            cluster.countOccurrence("stood aside");
            return;
        }
        if (lease < 0) {
            ask(
                    () -> cluster.state.model.grant(cluster.now, 1500),
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
        ask(
                () -> cluster.state.model.touch(cluster.now, renewed) ? 1 : 0,
                -1,
                ok -> {
                    if (ok == 0 && lease == renewed) {
                        lease = -1;
                        node.owner.onLeaseGranted(-1);
                        node.leader.onLeaseGranted(-1);
                    }
                },
                () -> {});
    }

    private record CommitAnswer(TransactionOutcome outcome, long revision) {}

    private record Answer(List<KeyChange> changes, long revision) {}

    /** Reads the changes since the replica's revision, or lists all keys. */
    void follow() {
        if (listing) {
            return;
        }
        if (!node.replica.isLoaded() || node.replica.isInconsistent()) {
            listing = true;
            page(cluster.now, null, new ArrayList<>(), -1);
            return;
        }
        long sentAt = cluster.now;
        long since = node.replica.revision();
        ask(
                () -> new Answer(cluster.state.model.changes(Keys.REPLICATED, since), cluster.state.model.revision()),
                new Answer(null, 0),
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

    /** Reads a page of a listing; the keys go on changing between pages. */
    private void page(long sentAt, String since, List<KeyChange> sofar, long first) {
        ask(
                () -> new Answer(
                        cluster.state.model.list(Keys.REPLICATED, since, SimulatedCluster.PAGE),
                        cluster.state.model.revision()),
                new Answer(null, 0),
                answer -> {
                    if (answer.changes() == null) {
                        listing = false;
                        return;
                    }
                    sofar.addAll(answer.changes());
                    long revision = first < 0 ? answer.revision() : first;
                    if (answer.changes().size() == SimulatedCluster.PAGE) {
                        page(sentAt, sofar.get(sofar.size() - 1).key(), sofar, revision);
                        return;
                    }
                    listing = false;
                    node.replica.reset(sofar, revision);
                    if (node.replica.isLoaded()) {
                        node.owner.onReplicaConfirmed(sentAt);
                    }
                },
                () -> listing = false);
    }

    /** Publishes this process under its lease, which makes it an owner and a candidate. */
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
            node.owner.onLeaseGranted(lease);
            node.leader.onLeaseGranted(lease);
        }
    }

    /** Commits a transaction; {@code done} is told the outcome and the revision, -1 when it isn't known. */
    void commit(Transaction transaction, BiConsumer<TransactionOutcome, Long> done) {
        if (!node.replica.isLoaded()) {
            done.accept(TransactionOutcome.REFUSED, -1L);
            return;
        }
        node.replica.guardVersion(transaction);
        cluster.decisions.onTransaction(cluster.now, node.name, transaction);
        if (cluster.now < cluster.state.lateUntil && cluster.random.nextDouble() < cluster.state.lateShare) {
            int process = node.life;
            cluster.at(
                    cluster.state.lateAtOnce ? 1 + cluster.random.nextInt(5) : 2000 + cluster.random.nextInt(10_000),
                    () -> cluster.countOccurrence(
                            cluster.now >= cluster.state.outageUntil && cluster.state.commit(node, transaction) == 200
                                    ? "carried out without an answer"
                                    : "late and overtaken"));
            node.after(2000, () -> {
                if (node.life == process) {
                    done.accept(TransactionOutcome.UNKNOWN, -1L);
                }
            });
            return;
        }
        ask(
                () -> {
                    int status = cluster.state.commit(node, transaction);
                    TransactionOutcome outcome = status == 200
                            ? TransactionOutcome.OK
                            : status == 409
                                    ? TransactionOutcome.CONFLICT
                                    : status == SimulatedStateService.TOO_MANY
                                            ? TransactionOutcome.REFUSED
                                            : TransactionOutcome.NO_LEASE;
                    return new CommitAnswer(outcome, cluster.state.model.revision());
                },
                new CommitAnswer(TransactionOutcome.REFUSED, -1),
                answer -> done.accept(answer.outcome(), answer.revision()),
                () -> done.accept(TransactionOutcome.UNKNOWN, -1L));
    }
}
