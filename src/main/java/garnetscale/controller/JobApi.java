package garnetscale.controller;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.state.JobView;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.state.TransactionOutcome;
import garnetscale.net.HttpStatus;
import garnetscale.net.Reply;
import garnetscale.wire.UserCodec;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The job API for users: submit, look up and cancel. No answer shows an older state than an earlier answer of any controller: a
 * state that isn't terminal is answered only from a replica that was synced after the request arrived. A request for which that
 * isn't possible is refused at once with 503. Confined to the event loop.
 */
final class JobApi {

    /** The prefix of the API's paths. */
    static final String PATH = "/v2/runs";

    private static final String CANCEL = "/cancel";
    private static final String GET = "GET";
    private static final String POST = "POST";

    /** Access to the state service for users' requests. */
    interface Store extends TerminalJobIndex.Store {
        /** Returns whether the service has lately been refusing requests or leaving them unanswered. */
        boolean failing();

        /** Calls back with true once the replica is as new as a request sent after this call, or with false if it can't be. */
        void sync(Consumer<Boolean> done);

        /** Sends a transaction, or refuses it at once when the limit on writes is used up. */
        void submit(Transaction transaction, BiConsumer<TransactionOutcome, Long> done);
    }

    private final TerminalJobIndex terminalJobs;
    private final JobLookup lookup;
    private final JobSubmission submission;
    private final JobCancellation cancellation;

    /**
     * Creates the API over one replica.
     *
     * @param waitingReason returns why tasks of a job wait, for its user, or null when none does
     * @param onCancelled   receives the id of each job whose cancellation is stored
     */
    JobApi(
            SchedulerConfig config,
            StateReplica replica,
            Store store,
            Function<JobView, String> waitingReason,
            Consumer<String> onCancelled) {
        RequestAdmission admission = new RequestAdmission(config, replica, store);
        this.terminalJobs =
                new TerminalJobIndex(config.maxTransactionOperations(), config.maxRememberedTerminalJobs(), store);
        this.lookup = new JobLookup(replica, store, admission, terminalJobs, waitingReason);
        this.submission = new JobSubmission(config, replica, store, admission, lookup);
        this.cancellation = new JobCancellation(replica, store, admission, lookup, onCancelled);
    }

    /** Handles a request whose path begins with {@link #PATH}. */
    void handle(String method, String path, byte[] body, Consumer<Reply> answer) {
        String rest = path.substring(PATH.length());
        if (rest.isEmpty() || rest.equals("/")) {
            if (method.equals(POST)) {
                submission.submit(body, answer);
            } else {
                answer.accept(onlyMethod(POST));
            }
            return;
        }
        String id = rest.substring(1);
        boolean cancels = id.endsWith(CANCEL);
        if (cancels) {
            id = id.substring(0, id.length() - CANCEL.length());
        }
        String allowed = cancels ? POST : GET;
        if (!UserCodec.isId(id)) {
            answer.accept(JobReplies.noSuchJob());
        } else if (!method.equals(allowed)) {
            answer.accept(onlyMethod(allowed));
        } else if (cancels) {
            cancellation.cancel(id, answer);
        } else {
            lookup.reply(id, answer);
        }
    }

    private static Reply onlyMethod(String allowed) {
        return JobReplies.error(HttpStatus.METHOD_NOT_ALLOWED, "only " + allowed);
    }

    /** Looks up the terminal record of a job that the replica doesn't contain. */
    void lookUpTerminal(String id, TerminalJobCallback done) {
        lookup.lookUpTerminalRecord(id, done);
    }

    /** Caches a job's terminal record once the leader has stored it: look-ups of the job needn't wait for the state service. */
    void onTerminated(String id, Records.TerminalJob job) {
        terminalJobs.remember(id, job);
    }
}
