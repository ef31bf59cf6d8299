package garnetscale.core.sim;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.state.Transaction;
import garnetscale.emulator.StateLimits;
import garnetscale.emulator.StateModel;
import garnetscale.net.TokenBucket;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** The key-value store with its failures: outages, refusals, limited, late and unanswered transactions, slow answers. */
final class SimulatedStateService {

    /** The answer to a change above the rate. */
    static final int TOO_MANY = 429;
    /** What it takes in one transaction. */
    private static final int TRANSACTION_OPS = 24;

    private static final int TRANSACTION_BYTES = 64 * 1024;

    private final SimulatedCluster cluster;
    final StateModel model;
    private final Map<String, Long> refusedUntil = new HashMap<>();
    /** The changes a second that it takes, and what was refused beyond it; unbounded unless set. */
    private TokenBucket writes = new TokenBucket(Double.MAX_VALUE, Double.MAX_VALUE, 0);

    boolean limitsWrites;
    int refusedWrites;
    long outageUntil;
    /** Told of each transaction of a controller that was applied. */
    Consumer<Transaction> onStored = transaction -> {};
    /** Until then this share of transactions gets no answer: applied at once, or 2 to 12 s late. */
    long lateUntil;

    double lateShare;
    boolean lateAtOnce;
    /** Until then an answer takes so much longer. */
    long slowUntil;

    int slowMs;

    SimulatedStateService(SimulatedCluster cluster, int valueBytes) {
        this.cluster = cluster;
        model = new StateModel(new StateLimits(valueBytes, TRANSACTION_OPS, TRANSACTION_BYTES));
    }

    /** From now on more changes a second than the settings allow are refused, and leaders limit their rate. */
    void limitWrites() {
        SchedulerConfig config = cluster.shape.config("n0");
        limitsWrites = true;
        writes = new TokenBucket(config.stateWritesPerS(), config.stateWritesPerS(), cluster.now);
    }

    /** Applies a controller's transaction and returns the status; checks that the controller supports the layout version. */
    int commit(SimulatedNode by, Transaction transaction) {
        int active = cluster.stored().version().active();
        int status = commit(transaction);
        if (status == 200 && !transaction.ops().isEmpty() && !by.layouts.contains(active)) {
            cluster.rules.violations.add(cluster.now + " wrote outside its versions: " + by.name + " supports "
                    + by.layouts + ", " + active + " was active");
        }
        int next = cluster.stored().version().active();
        if (next > active) {
            cluster.stored().controllers().stream()
                    .filter(node -> !node.layouts().contains(next))
                    .forEach(
                            node -> cluster.rules.violations.add(cluster.now + " activated " + next + " over " + node));
        }
        return status;
    }

    private int commit(Transaction transaction) {
        if (!writes.tryTake(cluster.now, transaction.ops().size())) {
            refusedWrites++;
            return TOO_MANY;
        }
        int status = model.commit(transaction);
        if (status == 200) {
            onStored.accept(transaction);
        }
        return status;
    }

    /** Refuses this node alone. */
    void refuse(String node, long ms) {
        refusedUntil.put(node, cluster.now + ms);
    }

    /** Whether requests of this node are refused now. */
    boolean refuses(String node) {
        return cluster.now < outageUntil || cluster.now < refusedUntil.getOrDefault(node, 0L);
    }

    /** Refuses all nodes; every lease gets its full time again at the end. */
    void outage(long ms) {
        outageUntil = cluster.now + ms;
        cluster.at(ms, () -> model.renewAllLeases(cluster.now));
    }

    /** This share of transactions gets no answer: they are applied at once, or 2 to 12 s late. */
    void late(long ms, double share, boolean atOnce) {
        lateUntil = cluster.now + ms;
        lateShare = share;
        lateAtOnce = atOnce;
    }
}
