package garnetscale.controller;

import garnetscale.core.job.JobState;
import garnetscale.core.state.JobView;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.net.Reply;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Looks up the state of jobs for users and operators. A state that may still change is read only from a replica that was synced
 * after the request arrived. Confined to the event loop.
 */
final class JobLookup {

    /** The result of a look-up. */
    sealed interface Result {}

    /** The job was found; {@code reply} is the answer to its user. */
    record Found(Reply reply) implements Result {}

    /** No state was found. */
    enum Missing implements Result {
        /** No job of this id was accepted before the request arrived. */
        ABSENT,
        /** The state can't be determined now. */
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

    /** Returns whether this process knows of an accepted job of this id; there may be one that it doesn't know of. */
    boolean isKnown(String id) {
        return terminalJobs.cached(id) != null || replica.job(id) != null;
    }

    /** Answers with the job's state, with 404 if there is no such job, or with 503 if the state is unknown. */
    void reply(String id, Consumer<Reply> answer) {
        lookUp(id, result -> answer.accept(replyOf(result)));
    }

    /** Answers with the state of a job that was accepted, or with 503: even if it isn't found now, 404 would be wrong. */
    void replyForAccepted(String id, Consumer<Reply> answer) {
        lookUp(id, result -> answer.accept(result instanceof Found found ? found.reply() : JobReplies.stateUnknown()));
    }

    /** Returns the answer to a request for the job. */
    static Reply replyOf(Result result) {
        if (result instanceof Found found) {
            return found.reply();
        }
        return result == Missing.ABSENT ? JobReplies.noSuchJob() : JobReplies.stateUnknown();
    }

    /** Returns the reply for a job that is cached as terminal, or null if it isn't. */
    Reply terminalReply(String id) {
        Records.TerminalJob job = terminalJobs.cached(id);
        return job == null ? null : JobReplies.terminal(id, job);
    }

    /** Returns the reply for a job in the replica. */
    Reply replyOf(JobView job) {
        return job.job().state() == JobState.CANCELLED
                ? JobReplies.cancelled(job)
                : JobReplies.live(job, waitingReason.apply(job));
    }

    /** Looks up a job in an up-to-date replica, then among the terminal jobs. */
    void lookUp(String id, Consumer<Result> done) {
        Reply terminal = terminalReply(id);
        if (terminal != null) {
            done.accept(new Found(terminal));
            return;
        }
        if (!admission.admits(RequestAdmission.LOOKUP_SHARE)) {
            done.accept(Missing.UNKNOWN);
            return;
        }
        admission.begin();
        store.sync(upToDate -> {
            admission.end();
            if (!upToDate) {
                done.accept(Missing.UNKNOWN);
                return;
            }
            JobView job = replica.job(id);
            if (job != null) {
                done.accept(new Found(replyOf(job)));
                return;
            }
            // The replica is complete as of a moment after the request and doesn't contain the job: it is terminal, or
            // was never accepted.
            lookUpTerminal(id, done);
        });
    }

    /** Looks up a job that an up-to-date replica doesn't contain. */
    void lookUpTerminal(String id, Consumer<Result> done) {
        admission.begin();
        terminalJobs.lookUp(id, (known, job) -> {
            admission.end();
            if (!known) {
                done.accept(Missing.UNKNOWN);
            } else if (job == null) {
                done.accept(Missing.ABSENT);
            } else {
                done.accept(new Found(JobReplies.terminal(id, job)));
            }
        });
    }

    /** Looks up, for an operator, the terminal record of a job that the replica doesn't contain. */
    void lookUpTerminalRecord(String id, TerminalJobCallback done) {
        Records.TerminalJob cached = terminalJobs.cached(id);
        if (cached != null) {
            done.accept(true, cached);
        } else if (!admission.admits(RequestAdmission.LOOKUP_SHARE)) {
            done.accept(false, null);
        } else {
            terminalJobs.lookUp(id, done);
        }
    }
}
