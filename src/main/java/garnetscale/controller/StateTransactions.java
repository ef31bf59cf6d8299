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
 * Sends transactions within this controller's part of the limit on changes: the leader's wait, submissions are refused at
 * once, and those that can't wait aren't counted. What a transaction did shows in the replica by a watch, not here.
 */
final class StateTransactions {

    private static final Logger LOG = LoggerFactory.getLogger(StateTransactions.class);
    /** What may be saved up of the rates, in seconds. */
    private static final double LEADER_BURST_S = 0.8;

    private static final double SUBMISSIONS_BURST_S = 1.6;
    /** The service refuses a request over its limit. */
    private static final int TOO_MANY_REQUESTS = 429;
    /** Instead of a revision where there is none. */
    private static final long NO_REVISION = -1;

    private final StateConnection connection;
    private final StateReplica replica;
    private final WriteRateAllocator rates;
    private final TokenBucket leaderBudget;
    private final TokenBucket submissionBudget;

    StateTransactions(SchedulerConfig config, StateConnection connection, StateReplica replica) {
        this.connection = connection;
        this.replica = replica;
        this.rates = new WriteRateAllocator(config.stateWritesPerS());
        long now = connection.now();
        this.leaderBudget = new TokenBucket(rates.leaderPerS(), LEADER_BURST_S * rates.leaderPerS(), now);
        this.submissionBudget = new TokenBucket(1, 1, now);
    }

    /** Adds what may be sent now, for operators. */
    void addBudgets(Map<String, Object> budgets) {
        budgets.put("leader_changes", connection.describe(leaderBudget));
        budgets.put("submissions", connection.describe(submissionBudget));
    }

    /** Sends a leader's transaction once the limits allow it. */
    void sendAsLeader(Transaction transaction, BiConsumer<TransactionOutcome, Long> done) {
        if (rates.observe(connection.now(), replica.jobsAdded())) {
            leaderBudget.resize(rates.leaderPerS(), LEADER_BURST_S * rates.leaderPerS());
        }
        long waitMs = leaderBudget.waitMs(connection.now(), transaction.ops().size());
        if (waitMs > 0) {
            connection.after(waitMs, () -> sendAsLeader(transaction, done));
            return;
        }
        leaderBudget.force(connection.now(), transaction.ops().size());
        send(transaction, done);
    }

    /** Sends a user's transaction, or refuses it at once when the limits are used up. */
    void submit(Transaction transaction, BiConsumer<TransactionOutcome, Long> done) {
        double perS = rates.submissionsPerS(replica.controllers().size());
        submissionBudget.resize(perS, SUBMISSIONS_BURST_S * perS);
        if (!submissionBudget.take(connection.now(), transaction.ops().size())) {
            done.accept(TransactionOutcome.REFUSED, NO_REVISION);
            return;
        }
        send(transaction, done);
    }

    /**
     * Sends a transaction at once. Like every change it fails where another version of the stored state has become active
     * than the replica shows, and isn't sent at all by a controller that can't read what is stored.
     *
     * @param done gets the outcome, and the revision of the answer or a negative number
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
            LOG.debug("transaction names a lease that has expired or is malformed, transaction={}", transaction);
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
            LOG.debug("state service refuses a transaction over its limit");
        } else {
            connection.onFailed("transaction", result);
        }
    }
}
