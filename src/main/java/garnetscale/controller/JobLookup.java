package garnetscale.controller;

import garnetscale.core.job.JobState;
import garnetscale.core.state.JobView;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.net.Reply;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Finds the state of a job for users and operators. A state that may still change is read only from a replica that was brought
 * up to date after the request came. Lives on the event loop.
 */
final class JobLookup {

    /** What a look-up found. */
    sealed interface Result {}

    /** The job is there; {@code reply} tells its user of its state. */
    record Found(Reply reply) implements Result {}

    /** There is no state to tell. */
    enum Missing implements Result {
        /** No job of this id was accepted before the request came. */
        ABSENT,
        /** Nobody can tell now. */
        UNKNOWN
    }

    private final StateReplica replica;
    private final JobApi.Store store;
    private final RequestAdmission admission;
    private final TerminalJobIndex terminalJobs;
    private final Function<JobView, String> waitingReason;

    JobLookup(
            StateReplica replica,
            JobApi.Store store,
            RequestAdmission admission,
            TerminalJobIndex terminalJobs,
            Function<JobView, String> waitingReason) {
        this.replica = replica;
        this.store = store;
        this.admission = admission;
        this.terminalJobs = terminalJobs;
        this.waitingReason = waitingReason;
    }

    /** Whether a job of this id was accepted, by what this process holds; false doesn't mean that there is none. */
    boolean isKnown(String id) {
        return terminalJobs.cached(id) != null || replica.job(id) != null;
    }

    /** Answers with the job's state, or with 404. */
    void reply(String id, Consumer<Reply> answer) {
        lookUp(id, result -> answer.accept(replyOf(result)));
    }

    /** Answers with the state of a job that was accepted: that it can't be found now is no reason for 404. */
    void replyForAccepted(String id, Consumer<Reply> answer) {
        lookUp(id, result -> answer.accept(result instanceof Found found ? found.reply() : JobReplies.stateUnknown()));
    }

    /** The answer to somebody who asked for the job. */
    static Reply replyOf(Result result) {
        if (result instanceof Found found) {
            return found.reply();
        }
        return result == Missing.ABSENT ? JobReplies.noSuchJob() : JobReplies.stateUnknown();
    }

    /** The reply for a job that is known here to be terminal, or null. */
    Reply terminalReply(String id) {
        Records.TerminalJob job = terminalJobs.cached(id);
        return job == null ? null : JobReplies.terminal(id, job);
    }

    /** The reply for a job that the replica holds. */
    Reply replyOf(JobView job) {
        return job.job().state() == JobState.CANCELLED
                ? JobReplies.cancelled(job)
                : JobReplies.live(job, waitingReason.apply(job));
    }

    /** Looks a job up in an up-to-date replica, or else among the terminal jobs. */
    void lookUp(String id, Consumer<Result> found) {
        Reply terminal = terminalReply(id);
        if (terminal != null) {
            found.accept(new Found(terminal));
            return;
        }
        if (!admission.admits(RequestAdmission.LOOKUPS)) {
            found.accept(Missing.UNKNOWN);
            return;
        }
        admission.begin();
        store.sync(upToDate -> {
            admission.end();
            if (!upToDate) {
                found.accept(Missing.UNKNOWN);
                return;
            }
            JobView job = replica.job(id);
            if (job != null) {
                found.accept(new Found(replyOf(job)));
                return;
            }
            // The replica didn't hold it as of a moment after the request: it is terminal, or was never accepted.
            lookUpTerminal(id, found);
        });
    }

    /** Looks a job up that an up-to-date replica doesn't hold. */
    void lookUpTerminal(String id, Consumer<Result> found) {
        admission.begin();
        terminalJobs.lookUp(id, (known, job) -> {
            admission.end();
            if (!known) {
                found.accept(Missing.UNKNOWN);
            } else if (job == null) {
                found.accept(Missing.ABSENT);
            } else {
                found.accept(new Found(JobReplies.terminal(id, job)));
            }
        });
    }

    /** Looks up for an operator how a job ended that the replica doesn't hold. */
    void lookUpRecord(String id, TerminalJobCallback found) {
        Records.TerminalJob cached = terminalJobs.cached(id);
        if (cached != null) {
            found.accept(true, cached);
        } else if (!admission.admits(RequestAdmission.LOOKUPS)) {
            found.accept(false, null);
        } else {
            terminalJobs.lookUp(id, found);
        }
    }
}
