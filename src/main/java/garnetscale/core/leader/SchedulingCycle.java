package garnetscale.core.leader;

import java.util.Collection;

/**
 * What the parts of one plan share.
 *
 * @param now      milliseconds of the steady clock
 * @param wallMs   the time of day, which job records carry
 * @param machines all machines that the leader knows of
 * @param draft    the transaction that the plan leads to
 */
record SchedulingCycle(long now, long wallMs, Collection<MachineState> machines, TransactionDraft draft) {}
