package garnetscale.core.partition;

import garnetscale.core.machine.WorkerHeartbeat;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.agrona.collections.LongHashSet;

/** What a holder knows of one machine, and what it has told it, within one block term. */
final class MachineView {

    final String id;
    final String partition;
    /** The newest report, also from answers to direct commands. */
    WorkerHeartbeat last;

    long lastHeartbeatAt;
    /** When a report of the current session was last answered with 200; the worker's lease ends after that. */
    long answeredAt;
    /** When a report first showed this term's token: from then on no older holder can have renewed the lease. */
    long oursAt = -1;
    /**
     * Whether the worker has answered a question or a command in this term, or has shown its token. A report alone may be
     * a late copy, or come from a machine that hears nothing; neither is room to give work to.
     */
    boolean answers;
    /** When the worker was last asked for its report. */
    long probedAt = Long.MIN_VALUE / 2;
    /** The token that this machine gets now; raised within the term when a command may arrive late. */
    long fencingToken;
    /** The highest token of a direct command that went unanswered, or -1. */
    long lostFencingToken = -1;

    boolean commandInFlight;
    /** Sessions up to this one are known to have ended. */
    long expiredEpoch = -1;
    /** Starts given in the answer to the newest report: the worker may have taken or dropped them. */
    final LongHashSet startsInAnswer = new LongHashSet();
    /** The token under which an attempt's start was last sent directly; such a command may come late or twice. */
    final Map<Long, Long> directStarts = new HashMap<>();
    /** Attempts of placements that will never be started here, told to the leader until it has freed them. */
    final Set<Long> terminated = new TreeSet<>();
    /** When each running attempt was first seen to run, for the estimates. */
    final Map<Long, Long> runningSince = new HashMap<>();
    /** When a direct stop was last sent for an attempt, so that it is not sent with every change. */
    final Map<Long, Long> stopsSent = new HashMap<>();
    /** Attempts in the newest report that failed, the jobs of which any did since one completed, and until when the
     * machine doesn't bid for it. */
    final Set<Long> failed = new TreeSet<>();

    final Set<String> failedJobs = new TreeSet<>();
    long noBidsUntil = Long.MIN_VALUE;
    /** Something came of it or of its record since it was last gone over. */
    boolean dirty = true;
    /** When it was last gone over something was left to do, say again or wait for. */
    boolean restless;
    /** What the leader was last told of it; null when it has to be told again. */
    MachineStatus observed;

    long observedAt = Long.MIN_VALUE / 2;

    /** Whether a command went unanswered and no report has yet shown that the machine hears this node. */
    boolean unreachable() {
        return last != null && lostFencingToken >= last.fencingToken();
    }

    MachineView(String id, String partition, long fencingToken) {
        this.id = id;
        this.partition = partition;
        this.fencingToken = fencingToken;
    }
}
