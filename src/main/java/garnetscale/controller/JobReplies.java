package garnetscale.controller;

import garnetscale.core.job.JobState;
import garnetscale.core.state.JobView;
import garnetscale.core.state.Records;
import garnetscale.net.HttpStatus;
import garnetscale.net.Reply;
import garnetscale.wire.UserCodec;

/** The HTTP answers of the job API. */
final class JobReplies {

    private static final int RETRY_AFTER_S = 1;

    /** Names of job states in PROTOCOL. */
    private static final String PENDING = "pending";

    private static final String RUNNING = "running";
    private static final String DONE = "done";
    private static final String WITHDRAWN = "withdrawn";
    private static final String CANCELLED_BY_USER = "cancelled by its user";

    private JobReplies() {}

    /** Returns the answer to a request that can't succeed; {@code reason} is for its user. */
    static Reply error(int status, String reason) {
        return Reply.of(status, UserCodec.error(reason));
    }

    static Reply noSuchJob() {
        return error(HttpStatus.NOT_FOUND, "no such job");
    }

    /** Returns a 503 for a request that can't be answered now and is to be repeated. */
    static Reply retryLater(String reason) {
        return new Reply(HttpStatus.UNAVAILABLE, UserCodec.error(reason), RETRY_AFTER_S);
    }

    static Reply stateUnknown() {
        return retryLater("state unknown");
    }

    static Reply stateServiceUnavailable() {
        return retryLater("the state service can't be asked");
    }

    static Reply notStored() {
        return retryLater("the state service can't take it");
    }

    /** Returns the answer to a submission whose job was stored. */
    static Reply created(String id, String team) {
        return Reply.of(HttpStatus.CREATED, UserCodec.answer(new UserCodec.Answer(id, PENDING, 0, 0, team, null)));
    }

    /** Returns the state of a live job; {@code waitingReason} is null if none of its tasks waits. */
    static Reply live(JobView job, String waitingReason) {
        return job(job, job.placedCount() > 0 ? RUNNING : PENDING, waitingReason);
    }

    /** Returns the state of a cancelled job that is still in the replica. */
    static Reply cancelled(JobView job) {
        return job(job, WITHDRAWN, CANCELLED_BY_USER);
    }

    private static Reply job(JobView job, String state, String reason) {
        return Reply.of(
                HttpStatus.OK,
                UserCodec.answer(new UserCodec.Answer(
                        job.spec().id(),
                        state,
                        job.finishedCount(),
                        job.placedCount(),
                        job.spec().team(),
                        reason)));
    }

    /** Returns the state of a terminal job; only a summary of the job is still stored. */
    static Reply terminal(String id, Records.TerminalJob job) {
        boolean done = job.state() == JobState.DONE;
        return Reply.of(
                HttpStatus.OK,
                UserCodec.answer(new UserCodec.Answer(
                        id, done ? DONE : WITHDRAWN, job.finished(), 0, job.team(), done ? null : CANCELLED_BY_USER)));
    }
}
