package garnetscale.controller;

import garnetscale.core.job.JobState;
import garnetscale.core.state.JobView;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.state.TransactionOutcome;
import garnetscale.net.Reply;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Cancels jobs for their users. A job can't end both as done and as cancelled: both transactions change the job's key and are
 * guarded by its revision, so that only one of them is applied. Confined to the event loop.
 */
final class JobCancellation {

    private static final Logger LOG = LoggerFactory.getLogger(JobCancellation.class);
    /** Limit on the attempts after the first; each attempt syncs the replica before it stores the cancellation. */
    private static final int MAX_RETRIES = 3;

    private final StateReplica replica;
    private final JobApi.Store store;
    private final RequestAdmission admission;
    private final JobLookup lookup;
    private final Consumer<String> onCancelled;

    JobCancellation(
            StateReplica replica,
            JobApi.Store store,
            RequestAdmission admission,
            JobLookup lookup,
            Consumer<String> onCancelled) {
        this.replica = replica;
        this.store = store;
        this.admission = admission;
        this.lookup = lookup;
        this.onCancelled = onCancelled;
    }

    /** Cancels a job if it is live, and answers with its resulting state. */
    void cancel(String id, Consumer<Reply> answer) {
        attempt(id, 0, answer);
    }

    private void attempt(String id, int retries, Consumer<Reply> answer) {
        Reply terminal = lookup.terminalReply(id);
        if (terminal != null) {
            answer.accept(terminal);
            return;
        }
        if (!admission.admits(RequestAdmission.FULL_SHARE) || retries > MAX_RETRIES) {
            answer.accept(JobReplies.stateServiceUnavailable());
            return;
        }
        admission.begin();
        store.sync(upToDate -> {
            admission.end();
            JobView job = upToDate ? replica.job(id) : null;
            if (!upToDate) {
                answer.accept(JobReplies.stateUnknown());
            } else if (job == null) {
                lookup.lookUpTerminal(id, result -> answer.accept(JobLookup.replyOf(result)));
            } else if (!job.isLive()) {
                answer.accept(lookup.replyOf(job));
            } else {
                store(job, retries, answer);
            }
        });
    }

    private void store(JobView job, int retries, Consumer<Reply> answer) {
        String id = job.spec().id();
        Transaction transaction = new Transaction()
                .guard(Keys.job(id), job.modRevision())
                .put(Keys.job(id), Records.job(job.job().withState(JobState.CANCELLED)));
        admission.begin();
        store.submit(transaction, (outcome, revision) -> {
            admission.end();
            onStored(job, outcome, retries, answer);
        });
    }

    private void onStored(JobView job, TransactionOutcome outcome, int retries, Consumer<Reply> answer) {
        String id = job.spec().id();
        switch (outcome) {
            case OK -> {
                onCancelled.accept(id);
                LOG.info(
                        "job cancelled by its user, job={} team={}",
                        id,
                        job.spec().team());
                answer.accept(JobReplies.cancelled(job));
            }
            case CONFLICT, UNKNOWN -> attempt(id, retries + 1, answer);
            default -> answer.accept(JobReplies.notStored());
        }
    }
}
