package garnetscale.core.partition;

import garnetscale.core.Times;
import garnetscale.core.machine.WorkerHeartbeat;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * What a partition's owner knows about one machine, and what it has sent to the machine, within one term of the partition.
 * Holds plain state for the modules of this package; {@link PartitionLeases} drops it when the term changes, and {@link
 * MachineAdoption} when the machine no longer exists.
 */
final class MachineView {

    /** Value of {@link #cordonedUntil} for a machine that isn't cordoned. */
    static final long NOT_CORDONED = Long.MIN_VALUE;
    /** How late a heartbeat may be, in addition to half an interval, before the machine counts as silent. */
    private static final long SILENCE_MARGIN_MS = 2000;

    final String id;
    final String partition;

    /** The machine's fencing token and the starts that the token hasn't superseded yet. */
    final MachineFencing fencing;

    /** The newest heartbeat, including answers to probes and direct commands; null before the first one. */
    WorkerHeartbeat lastHeartbeat;
    /** When {@link #lastHeartbeat} arrived, or 0 before the first one. */
    long lastHeartbeatAt;
    /**
     * The start of the worker's current lease, as far as this owner knows: when a heartbeat was last acknowledged, or when a
     * new agent epoch was first seen if that was later. 0 before either.
     */
    long acknowledgedAt;
    /**
     * When a heartbeat first showed a token of this term, or -1 if none has. No earlier owner can have renewed the worker's
     * lease after this time.
     */
    long tokenSeenAt = -1;
    /**
     * Whether the worker has answered a probe or a command in this term, or has shown a token of this term. Until then the
     * machine is given no work: a heartbeat alone may be a late copy, or come from a machine that this owner can't reach.
     */
    boolean hasAnswered;
    /** When a probe of the worker was last requested. */
    long probedAt = Times.NEVER;
    /** Whether a direct command is in flight; there is at most one. */
    boolean commandInFlight;
    /** The newest agent epoch known to have ended, or -1 if none is known. All earlier epochs have ended too. */
    long expiredEpoch = -1;
    /** Placed attempts that will never run here again, published to the leader until it has freed their placements. */
    final Set<Long> terminatedAttempts = new TreeSet<>();
    /** When each running attempt was first seen to run, for the run-time estimates. */
    final Map<Long, Long> runningSince = new HashMap<>();
    /** When a direct stop of each attempt was last sent, so that it isn't repeated with every change. */
    final Map<Long, Long> stopsSentAt = new HashMap<>();
    /** Failed attempts in the newest heartbeat. */
    final Set<Long> failedAttempts = new TreeSet<>();
    /** Jobs, other than quarantined ones, of which a task failed here after a task of any job last completed here. */
    final Set<String> failedJobs = new TreeSet<>();
    /** The time until which the machine is cordoned, that is, doesn't bid. */
    long cordonedUntil = NOT_CORDONED;
    /** Whether something about the machine or its stored record changed since it was last reconciled. */
    boolean needsReconcile = true;
    /** Whether the last reconciliation left something to do, to repeat or to wait for. */
    boolean hasPendingWork;
    /** The status that was last published to the leader; null if the status has to be published again. */
    MachineStatus publishedStatus;
    /** When {@link #publishedStatus} was published. */
    long publishedAt = Times.NEVER;

    MachineView(String id, String partition, long partitionTerm) {
        this.id = id;
        this.partition = partition;
        this.fencing = new MachineFencing(partitionTerm);
    }

    /** Whether a command went unanswered and no heartbeat has shown since then that this owner reaches the machine. */
    boolean isUnreachable() {
        return lastHeartbeat != null && fencing.hasLostCommand(lastHeartbeat.fencingToken());
    }

    /** Whether the machine's heartbeat is overdue. */
    boolean isSilent(long now, long heartbeatIntervalMs) {
        return now - lastHeartbeatAt > heartbeatIntervalMs * 3 / 2 + SILENCE_MARGIN_MS;
    }

    /** Whether the agent epoch of the newest heartbeat may still be running; false before the first heartbeat. */
    boolean hasLiveEpoch() {
        return lastHeartbeat != null && lastHeartbeat.agentEpoch() > expiredEpoch;
    }

    /** Whether a heartbeat is newer than the last one and of an agent epoch that hasn't ended. */
    boolean isFresh(WorkerHeartbeat heartbeat) {
        return heartbeat.isNewerThan(lastHeartbeat) && heartbeat.agentEpoch() > expiredEpoch;
    }
}
