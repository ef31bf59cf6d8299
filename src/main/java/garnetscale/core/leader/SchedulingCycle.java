package garnetscale.core.leader;

import java.util.Collection;

/**
 * State shared by the steps of one scheduling cycle.
 *
 * @param now      milliseconds of the steady clock
 * @param wallMs   wall-clock time in milliseconds since the Unix epoch, as in job records
 * @param machines all machines known to the leader
 * @param draft    transaction that the steps add to
 */
record SchedulingCycle(long now, long wallMs, Collection<MachineState> machines, TransactionDraft draft) {

    /** Returns the seconds from a time of the steady clock, in milliseconds, until now. */
    double secondsSince(long time) {
        return (now - time) / 1000.0;
    }
}
