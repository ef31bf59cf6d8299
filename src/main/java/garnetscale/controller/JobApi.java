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
 * The job API for users: submit, look up and cancel. No answer is older than one that any controller has given before: what
 * isn't final is answered only from a replica that was brought up to date after the request came, and what can't be is refused
 * at once with 503. Lives on the event loop.
 */
final class JobApi {

    /** Where the paths of the API begin. */
    static final String PATH = "/v2/runs";

    private static final String CANCEL = "/cancel";
    private static final String GET = "GET";
    private static final String POST = "POST";

    /** The state service as users' requests need it. */
    interface Store extends TerminalJobIndex.Store {
        /** Whether it refuses or doesn't answer, by the last requests. */
        boolean failing();

        /** Calls back once the replica is as new as a request sent after this call; false when it can't be. */
        void sync(Consumer<Boolean> done);

        /** Sends a transaction, or refuses it at once when the limits are used up. */
        void submit(Transaction transaction, BiConsumer<TransactionOutcome, Long> done);
    }

    private final TerminalJobIndex terminalJobs;
    private final JobLookup lookup;
    private final JobSubmission submission;
    private final JobCancellation cancellation;

    /**
     * The API over one replica.
     *
     * @param waitingReason why a job's tasks wait, for its user, or null when none does
     * @param onCancelled   takes the id of each job whose cancellation is stored
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

    /** Looks up how a job ended that the replica doesn't hold. */
    void lookUpTerminal(String id, TerminalJobCallback found) {
        lookup.lookUpRecord(id, found);
    }

    /** The leader saw that the job's end is stored: its users needn't wait for the state service any more. */
    void onTerminated(String id, Records.TerminalJob job) {
        terminalJobs.remember(id, job);
    }
}
