package garnetscale.controller;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.state.TransactionOutcome;
import garnetscale.net.HttpResult;
import garnetscale.net.HttpStatus;
import garnetscale.net.TokenBucket;
import garnetscale.wire.StateCodec;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.Map;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends transactions within this controller's share of the limit on writes. Above the limit, the leader's transactions wait and
 * submissions are refused at once; transactions that can't wait aren't counted. The effect of a transaction reaches the replica
 * by a watch, not through this class.
 */
final class StateTransactions {

    private static final Logger LOG = LoggerFactory.getLogger(StateTransactions.class);
    /** Capacities of the token buckets, as the seconds in which an empty bucket fills at its rate. */
    private static final double LEADER_BURST_S = 0.8;

    private static final double SUBMISSIONS_BURST_S = 1.6;
    /** The service's status for a request above its rate limit. */
    private static final int TOO_MANY_REQUESTS = 429;
    /** Passed in place of a revision when there is none. */
    private static final long NO_REVISION = -1;

    private final StateConnection connection;
    private final StateReplica replica;
    private final WriteRateAllocator rates;
    private final TokenBucket leaderBucket;
    private final TokenBucket submissionBucket;

    StateTransactions(SchedulerConfig config, StateConnection connection, StateReplica replica) {
        this.connection = connection;
        this.replica = replica;
        this.rates = new WriteRateAllocator(config.stateWritesPerS());
        long now = connection.now();
        this.leaderBucket = new TokenBucket(rates.leaderPerS(), LEADER_BURST_S * rates.leaderPerS(), now);
        this.submissionBucket = new TokenBucket(1, 1, now);
    }

    /** Adds the rate limits of transactions to those shown to operators. */
    void addRateLimits(Map<String, Object> limits) {
        limits.put("leader_changes", connection.describe(leaderBucket));
        limits.put("submissions", connection.describe(submissionBucket));
    }

    /** Sends a transaction of the leader once the limit on writes allows it. */
    void sendAsLeader(Transaction transaction, BiConsumer<TransactionOutcome, Long> done) {
        if (rates.observe(connection.now(), replica.jobsAdded())) {
            leaderBucket.resize(rates.leaderPerS(), LEADER_BURST_S * rates.leaderPerS());
        }
        long waitMs = leaderBucket.waitMs(connection.now(), transaction.ops().size());
        if (waitMs > 0) {
            connection.after(waitMs, () -> sendAsLeader(transaction, done));
            return;
        }
        leaderBucket.takeUnconditionally(connection.now(), transaction.ops().size());
        send(transaction, done);
    }

    /** Sends a user's transaction, or refuses it at once when the limit on writes is used up. */
    void submit(Transaction transaction, BiConsumer<TransactionOutcome, Long> done) {
        double perS = rates.submissionsPerS(replica.controllers().size());
        submissionBucket.resize(perS, SUBMISSIONS_BURST_S * perS);
        if (!submissionBucket.tryTake(connection.now(), transaction.ops().size())) {
            done.accept(TransactionOutcome.REFUSED, NO_REVISION);
            return;
        }
        send(transaction, done);
    }

    /**
     * Sends a transaction at once. Like every change, it is guarded by the active version of the stored state: it fails if the
     * active version is no longer the one in the replica. It isn't sent while the replica isn't loaded, for example because a
     * stored record can't be read; the outcome is then {@code REFUSED}.
     *
     * @param done receives the outcome, and the revision of the answer or a negative number if it has none
     */
    void send(Transaction transaction, BiConsumer<TransactionOutcome, Long> done) {
        if (!replica.isLoaded()) {
            done.accept(TransactionOutcome.REFUSED, NO_REVISION);
            return;
        }
        replica.guardVersion(transaction);
        connection.call(
                HttpMethod.POST,
                StateCodec.TRANSACTION_PATH,
                StateCodec.transaction(transaction),
                StateConnection.TIMEOUT_MS,
                result -> {
                    try {
                        onResult(transaction, result, done);
                    } catch (IOException e) {
                        done.accept(TransactionOutcome.UNKNOWN, NO_REVISION);
                    }
                });
    }

    private void onResult(Transaction transaction, HttpResult result, BiConsumer<TransactionOutcome, Long> done)
            throws IOException {
        if (result.is(HttpStatus.OK)) {
            connection.onAnswered();
            done.accept(TransactionOutcome.OK, StateCodec.revision(result.body()));
        } else if (result.is(HttpStatus.CONFLICT)) {
            connection.onAnswered();
            done.accept(TransactionOutcome.CONFLICT, StateCodec.revision(result.body()));
        } else if (result.is(HttpStatus.BAD_REQUEST)) {
            LOG.debug("transaction rejected as malformed or for an expired lease, transaction={}", transaction);
            done.accept(TransactionOutcome.NO_LEASE, NO_REVISION);
        } else if (result.outcome() == HttpResult.Outcome.NO_ANSWER || result.mayHaveBeenApplied()) {
            connection.onFailed("transaction", result);
            done.accept(TransactionOutcome.UNKNOWN, NO_REVISION);
        } else {
            onRefused(result);
            done.accept(TransactionOutcome.REFUSED, NO_REVISION);
        }
    }

    private void onRefused(HttpResult result) {
        if (result.is(TOO_MANY_REQUESTS)) {
            LOG.debug("transaction rejected by the state service's rate limit");
        } else {
            connection.onFailed("transaction", result);
        }
    }
}
