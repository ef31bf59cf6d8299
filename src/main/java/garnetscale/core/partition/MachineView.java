package garnetscale.core.partition;

import garnetscale.core.Times;
import garnetscale.core.machine.WorkerHeartbeat;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * What the owner of a partition knows of one machine, and what it has sent it, within one term of the partition. A plain
 * record of state for the modules of this package; {@link PartitionOwner} drops it when the term changes.
 */
final class MachineView {

    /** {@link #cordonedUntil} of a machine that isn't cordoned. */
    static final long NOT_CORDONED = Long.MIN_VALUE;
    /** What a heartbeat may be late by, beside half an interval, before the machine counts as silent. */
    private static final long SILENCE_MARGIN_MS = 2000;

    final String id;
    final String partition;

    /** The machine's fencing token and the starts that it hasn't superseded yet. */
    final MachineFencing fencing;

    /** The newest heartbeat, also from answers to probes and direct commands; null before the first one. */
    WorkerHeartbeat lastHeartbeat;
    /** When {@link #lastHeartbeat} arrived. */
    long lastHeartbeatAt;
    /** When a heartbeat of the present agent epoch was last acknowledged; the worker's lease runs from then on. */
    long acknowledgedAt;
    /** When a heartbeat first showed a token of this term, or -1: from then on no earlier owner can have renewed the lease. */
    long tokenSeenAt = -1;
    /**
     * Whether the worker has answered a probe or a command in this term, or has shown a token of it. A heartbeat alone may be
     * a late copy, or come from a machine that nothing reaches; neither is given work.
     */
    boolean hasAnswered;
    /** When a probe of the worker was last requested. */
    long probedAt = Times.NEVER;
    /** Whether a direct command is in flight; there is at most one. */
    boolean commandInFlight;
    /** Agent epochs up to this one are known to have ended. */
    long expiredEpoch = -1;
    /** Attempts of placements that will never run here again, published to the leader until it has freed them. */
    final Set<Long> terminatedAttempts = new TreeSet<>();
    /** When each running attempt was first seen to run, for the estimates. */
    final Map<Long, Long> runningSince = new HashMap<>();
    /** When a direct stop was last sent for an attempt, so that it isn't repeated with every change. */
    final Map<Long, Long> stopsSentAt = new HashMap<>();
    /** Attempts in the newest heartbeat that failed. */
    final Set<Long> failedAttempts = new TreeSet<>();
    /** Jobs of which an attempt failed here since one of any job completed. */
    final Set<String> failedJobs = new TreeSet<>();
    /** Until when the machine is cordoned, which here means that it doesn't bid. */
    long cordonedUntil = NOT_CORDONED;
    /** Whether something about the machine or its stored record changed since it was last reconciled. */
    boolean needsReconcile = true;
    /** Whether the last reconciliation left something to do, to repeat or to wait for. */
    boolean hasPendingWork;
    /** What was last published to the leader; null if it has to be published again. */
    MachineStatus publishedStatus;
    /** When {@link #publishedStatus} was published. */
    long publishedAt = Times.NEVER;

    MachineView(String id, String partition, long partitionTerm) {
        this.id = id;
        this.partition = partition;
        this.fencing = new MachineFencing(partitionTerm);
    }

    /** Whether a command went unanswered and no heartbeat has yet shown that this owner reaches the machine. */
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

    /** Whether a heartbeat is news: newer than the last one, and not of an agent epoch that has ended. */
    boolean isNews(WorkerHeartbeat heartbeat) {
        return heartbeat.isNewerThan(lastHeartbeat) && heartbeat.agentEpoch() > expiredEpoch;
    }
}
