package garnetscale.core.sim;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Transaction;
import garnetscale.emulator.StateLimits;
import garnetscale.emulator.StateModel;
import garnetscale.net.TokenBucket;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** The state service with its failures: outages, refusals, rate limits, late and unanswered transactions, slow answers. */
final class SimulatedStateService {

    /** HTTP status of a transaction that exceeds the write rate. */
    static final int TOO_MANY_REQUESTS = 429;
    /** Bounds of one transaction. */
    private static final int MAX_TRANSACTION_OPS = 24;

    private static final int MAX_TRANSACTION_BYTES = 64 * 1024;

    /** Maximum time after which an applied transaction arrives again. */
    private static final int MAX_REPEAT_DELAY_MS = 60_000;

    /** Maximum time after which an unanswered transaction is applied. */
    private static final long MAX_LATE_MS = 12_000;

    private final SimulatedCluster cluster;
    final StateModel model;
    private final Map<String, Long> refusedUntil = new HashMap<>();
    /** Rate limit of changes; unlimited until {@link #limitWrites} is called. */
    private TokenBucket writes = new TokenBucket(Double.MAX_VALUE, Double.MAX_VALUE, 0);

    boolean limitsWrites;
    /** Number of transactions that exceeded the write rate. */
    int refusedWrites;

    long outageUntil;
    /** Receives each applied transaction of a controller. */
    Consumer<Transaction> onStored = transaction -> {};
    /** Time until which a share of the transactions gets no answer, see {@link #loseAnswers}. */
    long unansweredUntil;

    double unansweredShare;
    boolean unansweredAppliedAtOnce;
    /** Time until which a share of the applied transactions arrives again, see {@link #repeatApplied}. */
    private long repeatedUntil;

    private double repeatedShare;
    /**
     * After a controller has stored partition leases, the answers to it are late for up to this long: other controllers then know
     * the leases sooner than the leader that assigned them. PROTOCOL allows a few hundred milliseconds, so it is no failure.
     */
    int maxLateAfterLeasesMs;

    private final Map<String, Long> answersLateUntil = new HashMap<>();
    /** Time until which each answer takes up to {@link #maxSlowdownMs} longer. */
    long slowUntil;

    int maxSlowdownMs;

    SimulatedStateService(SimulatedCluster cluster, int valueBytes) {
        this.cluster = cluster;
        model = new StateModel(new StateLimits(valueBytes, MAX_TRANSACTION_OPS, MAX_TRANSACTION_BYTES));
    }

    /**
     * Limits changes to the rate per second that the settings allow. From now on, the service refuses transactions beyond it, and
     * leaders limit their own rate, too.
     */
    void limitWrites() {
        SchedulerConfig config = cluster.shape.config("n0");
        limitsWrites = true;
        writes = new TokenBucket(config.stateWritesPerS(), config.stateWritesPerS(), cluster.now);
    }

    /**
     * Applies a transaction of a controller and returns the HTTP status. Checks that it changes no key twice, that a later copy of it
     * would be rejected, that the controller supports the layout version that was active before, and that all registered controllers support
     * a version that the transaction activates.
     */
    int commit(SimulatedNode by, Transaction transaction) {
        int active = cluster.stored().version().active();
        int repeatable = model.repeatable().size();
        int status = commit(transaction);
        if (model.repeatable().size() > repeatable) {
            cluster.rules.violations.add(cluster.now + " may be applied again: " + by.name + " sent " + transaction);
        }
        long keys =
                transaction.ops().stream().map(Transaction.Op::key).distinct().count();
        if (keys < transaction.ops().size()) {
            cluster.rules.violations.add(
                    cluster.now + " changes a key twice in one revision: " + by.name + " sent " + transaction);
        }
        if (status == 200 && !transaction.ops().isEmpty()) {
            repeatLater(transaction);
            delayAnswersAfterLeases(by.name, transaction);
        }
        if (status == 200 && !transaction.ops().isEmpty() && !by.layouts.contains(active)) {
            cluster.rules.violations.add(cluster.now + " wrote with an unsupported layout active: " + by.name
                    + " supports " + by.layouts + ", " + active + " was active");
        }
        int next = cluster.stored().version().active();
        if (next > active) {
            cluster.stored().controllers().stream()
                    .filter(node -> !node.layouts().contains(next))
                    .forEach(node -> cluster.rules.violations.add(
                            cluster.now + " activated " + next + ", not supported by " + node));
        }
        return status;
    }

    private int commit(Transaction transaction) {
        if (!writes.tryTake(cluster.now, transaction.ops().size())) {
            refusedWrites++;
            return TOO_MANY_REQUESTS;
        }
        int status = model.commit(transaction);
        if (status == 200) {
            onStored.accept(transaction);
        }
        return status;
    }

    private void delayAnswersAfterLeases(String node, Transaction transaction) {
        if (maxLateAfterLeasesMs > 0
                && transaction.ops().stream().anyMatch(op -> op.key().startsWith(Keys.partition("")))) {
            answersLateUntil.put(node, cluster.now + cluster.random.nextInt(maxLateAfterLeasesMs));
        }
    }

    /** Returns the milliseconds by which an answer to this controller is late now. */
    long answerDelayMs(String node) {
        if (cluster.now < slowUntil) {
            return cluster.random.nextInt(maxSlowdownMs);
        }
        return lateAnswerMs(node);
    }

    /** Returns the milliseconds by which an answer to this controller is late because of {@link #maxLateAfterLeasesMs}. */
    long lateAnswerMs(String node) {
        return Math.max(0, answersLateUntil.getOrDefault(node, 0L) - cluster.now);
    }

    /** Refuses the requests of this controller alone. */
    void refuse(String node, long ms) {
        refusedUntil.put(node, cluster.now + ms);
        cluster.onTrouble(ms);
    }

    /** Returns whether requests of this controller are refused now. */
    boolean refuses(String node) {
        return cluster.now < outageUntil || cluster.now < refusedUntil.getOrDefault(node, 0L);
    }

    /** Refuses the requests of all controllers; every lease is renewed in full at the end. */
    void outage(long ms) {
        outageUntil = cluster.now + ms;
        cluster.at(ms, () -> model.renewAllLeases(cluster.now));
    }

    /** Leaves a share of the transactions without an answer for {@code ms}; they are applied at once, or 2 to 12 s late. */
    void loseAnswers(long ms, double share, boolean atOnce) {
        unansweredUntil = cluster.now + ms;
        cluster.onTrouble(ms + MAX_LATE_MS);
        unansweredShare = share;
        unansweredAppliedAtOnce = atOnce;
    }

    /**
     * Lets a share of the transactions that are applied within the next {@code ms} arrive a second time, up to {@link
     * #MAX_REPEAT_DELAY_MS} later.
     */
    void repeatApplied(long ms, double share) {
        repeatedUntil = cluster.now + ms;
        cluster.onTrouble(ms + MAX_REPEAT_DELAY_MS);
        repeatedShare = share;
    }

    private void repeatLater(Transaction transaction) {
        if (cluster.now >= repeatedUntil || cluster.random.nextDouble() >= repeatedShare) {
            return;
        }
        cluster.at(1 + cluster.random.nextInt(MAX_REPEAT_DELAY_MS), () -> {
            if (cluster.now >= outageUntil) {
                boolean isApplied = model.commit(transaction) == 200;
                cluster.countOccurrence(isApplied ? "repeat applied" : "repeat rejected");
            }
        });
    }
}
