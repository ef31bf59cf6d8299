package garnetscale.controller;

import garnetscale.core.state.Records;

/** Takes the result of looking up a terminal job. */
public interface TerminalJobCallback {

    /** {@code known} is false when nobody can tell now; {@code job} is null when there is no such terminal job. */
    void accept(boolean known, Records.TerminalJob job);
}
