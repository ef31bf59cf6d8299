package garnetscale.core.lead;

import garnetscale.core.block.Observation;

/** What the leader knows of a machine; {@code seen} is when its holder last spoke of it. */
final class MachineState {

    final String id;
    Observation last;
    long seen;
    /** No awards before this time: the machine refused or failed tasks. */
    long avoidUntil = Long.MIN_VALUE;
    /** Failures in a row, without a completed task between them. */
    int failures;

    MachineState(String id) {
        this.id = id;
    }
}
