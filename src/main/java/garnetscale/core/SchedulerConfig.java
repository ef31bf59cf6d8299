package garnetscale.core;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The figures that the core decides by. All times are milliseconds. What isn't a setting is a ratio to one; the
 * ratios and their reasons are in docs/operations.md.
 */
public record SchedulerConfig(
        String self,
        List<ControllerAddress> controllers,
        List<String> zones,
        Map<String, Team> teams,
        List<ServiceLevelObjective> objectives,
        long heartbeatIntervalMs,
        long leaseMs,
        long cancelMs,
        int transactionOps,
        double stateRps,
        double stateWritesPerS,
        int valueBytes,
        double cloudRps,
        long listLagMs,
        int maxConnections,
        long clockOffMs,
        Features features) {

    /** How long a job's end is kept in mind, while jobs end as fast as the state service can store it. */
    private static final double ENDS_REMEMBERED_S = 200;

    /** A controller node, this one included. */
    public record ControllerAddress(String name, String zone, String address) {}

    /** What a team is guaranteed and may use at most; a limit of infinity is none. */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

    /** An aim of the operators; fields that its kind has no use for are 0 or empty. */
    public record ServiceLevelObjective(String kind, String jobClass, double withinS, double share, double times) {}

    /** Twenty times the drift that PROTOCOL allows, plus what a busy process may be late by. */
    public long driftMs(long span) {
        return span / 100 + heartbeatIntervalMs / 2;
    }

    /**
     * How long a holder answers reports after sending the last request that confirmed its term. As long as it
     * can be: the longer it is, the longer an outage may last without costing tasks. G + lease + margin stays
     * below the time that a cancellation has, since a holder in its grace may not know of one.
     */
    public long graceMs() {
        return Math.max(0, cancelMs - leaseMs - cancelMs / 16 - driftMs(cancelMs));
    }

    /** After a term was raised, a machine that nobody hears of has lost its tasks once this has passed. */
    public long fenceMs() {
        return graceMs() + leaseMs + driftMs(graceMs() + leaseMs);
    }

    /** A worker that was last answered this long ago has ended its session. */
    public long silentMs() {
        return leaseMs + driftMs(leaseMs);
    }

    /**
     * Life of a node's state lease: an eighth of a worker's. Until it ends nobody starts work on a dead holder's
     * machines; a renewal that is late by more costs a new lease and a raised term, but no task.
     */
    public long controllerLeaseMs() {
        return Math.max(1500, leaseMs / 8);
    }

    /** How long every live controller must have been there before a version is activated: a ratio of a worker's lease. */
    public long settleMs() {
        return Math.round(features.settle() * leaseMs);
    }

    /** How long the leader waits for better bids: a tenth of the tightest waiting objective, two seconds at most. */
    public long windowMs() {
        double tightest = 20.0;
        for (ServiceLevelObjective o : objectives) {
            if (o.withinS() > 0 && (o.kind().equals("wait") || o.kind().equals("guarantee"))) {
                tightest = Math.min(tightest, o.withinS());
            }
        }
        return Math.round(tightest * 100);
    }

    /** Direct requests to workers that a holder may have under way at a time, each of which takes a socket. */
    public int directAtOnce() {
        return Math.max(8, maxConnections / 16);
    }

    /**
     * Cancellations by other controllers that a holder keeps in mind: as many as the state service can store until a task
     * of one would be gone in any case. It counts a second's burst beside the steady rate.
     */
    public int cancellationsRemembered() {
        return (int) Math.ceil(stateWritesPerS * (cancelMs / 1000.0 + 1));
    }

    /**
     * Jobs whose end a controller keeps in mind, so that it need not ask for it: those that can have ended within this
     * time, at two changes each.
     */
    public int endsRemembered() {
        return (int) Math.ceil(stateWritesPerS * ENDS_REMEMBERED_S / 2);
    }

    public String zoneOfNode(String name) {
        for (ControllerAddress m : controllers) {
            if (m.name().equals(name)) {
                return m.zone();
            }
        }
        return "";
    }

    public ControllerAddress controller(String name) {
        for (ControllerAddress m : controllers) {
            if (m.name().equals(name)) {
                return m;
            }
        }
        return null;
    }

    /** Teams by name, in the order of the settings. */
    public static Map<String, Team> byName(List<Team> teams) {
        Map<String, Team> map = new LinkedHashMap<>();
        teams.forEach(t -> map.put(t.name(), t));
        return map;
    }
}
