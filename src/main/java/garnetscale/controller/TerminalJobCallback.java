package garnetscale.controller;

import garnetscale.core.state.Records;

/** Receives the result of looking up a terminal job. */
public interface TerminalJobCallback {

    /**
     * Receives the result.
     *
     * @param known whether the result is known; false if it can't be determined now
     * @param job   the job's terminal record, or null if there is none or the result isn't known
     */
    void accept(boolean known, Records.TerminalJob job);
}
