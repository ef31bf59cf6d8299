package garnetscale.core.leader;

import java.util.Collection;

/**
 * What the steps of one scheduling cycle share.
 *
 * @param now      milliseconds of the steady clock
 * @param wallMs   the time of day in milliseconds since 1970, which job records carry
 * @param machines all machines that the leader knows of
 * @param draft    the transaction that the cycle leads to
 */
record SchedulingCycle(long now, long wallMs, Collection<MachineState> machines, TransactionDraft draft) {

    /** Seconds from a time of the steady clock until now. */
    double secondsSince(long time) {
        return (now - time) / 1000.0;
    }
}
