package garnetscale.core;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The settings that the core decides by, and the times and bounds that follow from them. All times are milliseconds. What
 * isn't a setting is a ratio to one; the ratios and their reasons are in docs/operations.md.
 *
 * @param self                this controller's name
 * @param controllers         all controllers, this one included
 * @param zones               the zones of the cluster's machines
 * @param teams               quotas by team, in the order of the settings
 * @param objectives          the operators' service-level objectives
 * @param heartbeatIntervalMs between two heartbeats of a worker
 * @param workerLeaseMs             a worker kills its tasks when its last answered heartbeat was sent longer ago
 * @param cancellationDeadlineMs            within this time of its cancellation a job's tasks must be terminated
 * @param maxTransactionOperations      most operations in one transaction of the key-value store
 * @param stateRequestsPerS            requests a second that the key-value store takes from this controller
 * @param stateWritesPerS     changes a second that the key-value store takes from all controllers
 * @param maxValueBytes          most bytes in one stored value
 * @param cloudRequestsPerS            requests a second that the cloud takes
 * @param instanceListLagMs           how old the cloud's instance list usually is; it may be twice as old
 * @param maxConnections      TCP connections that this process may have open
 * @param wallClockErrorMs          most that wall-clock time is off
 * @param features            what operators have switched on
 */
public record SchedulerConfig(
        String self,
        List<ControllerAddress> controllers,
        List<String> zones,
        Map<String, Team> teams,
        List<ServiceLevelObjective> objectives,
        long heartbeatIntervalMs,
        long workerLeaseMs,
        long cancellationDeadlineMs,
        int maxTransactionOperations,
        double stateRequestsPerS,
        double stateWritesPerS,
        int maxValueBytes,
        double cloudRequestsPerS,
        long instanceListLagMs,
        int maxConnections,
        long wallClockErrorMs,
        Features features) {

    /** For how long completed jobs are remembered, while they complete as fast as the key-value store can record it. */
    private static final double COMPLETED_JOBS_REMEMBERED_S = 200;

    private static final int CHANGES_PER_COMPLETED_JOB = 2;
    /** The drift reckoned with is this part of a span, twenty times the 0.05% that PROTOCOL allows. */
    private static final int DRIFT_PART = 100;

    private static final long MIN_CONTROLLER_LEASE_MS = 1500;
    /** A controller's lease is this part of a worker's. */
    private static final int CONTROLLER_LEASE_PART = 8;
    /** The part of a cancellation's time that is left for stopping tasks once the grace has ended. */
    private static final int STOP_TIME_PART = 16;
    /** The tightest objective for a start, where the settings have none or none that is tighter. */
    private static final double DEFAULT_START_S = 20;
    /** The bid window in milliseconds for each second of the tightest objective: a tenth. */
    private static final double WINDOW_MS_PER_S = 100;

    private static final int MIN_WORKER_REQUESTS = 8;
    /** Requests to workers may take this part of all connections. */
    private static final int WORKER_REQUESTS_PART = 16;

    /** A controller's name, zone and address ({@code host:port}). */
    public record ControllerAddress(String name, String zone, String address) {}

    /** A team's guarantees ({@code cpus}, {@code gpus}) and limits; an infinite limit is none. */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

    /** What a service-level objective is about. */
    public enum ObjectiveKind {
        /** Jobs of the class start within a time. */
        START,
        /** Jobs of the class are complete within a time. */
        COMPLETION,
        /** Jobs of the class are complete within a multiple of their own deadline. */
        DEADLINE,
        /** Teams below their guarantee get what they ask for within a time. */
        GUARANTEE,
        /** A kind that this version has no use for. */
        OTHER
    }

    /**
     * A service-level objective; components that its kind has no use for are 0 or empty.
     *
     * @param jobClass the class of jobs that it is for
     * @param withinS  seconds
     * @param share    the part of the jobs that have to meet it, from 0 to 1
     * @param times    multiple of a job's deadline
     */
    public record ServiceLevelObjective(
            ObjectiveKind kind, String jobClass, double withinS, double share, double times) {}

    /** What steady clocks may drift apart in {@code spanMs}, and a process that is late by half a heartbeat interval. */
    private long driftMs(long spanMs) {
        return spanMs / DRIFT_PART + heartbeatIntervalMs / 2;
    }

    /**
     * How long a partition owner answers heartbeats after it sent the last request that confirmed its view. As long as it can
     * be: the longer it is, the longer an outage may last without costing tasks. With a worker's lease and the margin it stays
     * below {@link #cancellationDeadlineMs}, since an owner in its grace may not know of a cancellation.
     */
    public long graceMs() {
        return Math.max(
                0,
                cancellationDeadlineMs
                        - workerLeaseMs
                        - cancellationDeadlineMs / STOP_TIME_PART
                        - driftMs(cancellationDeadlineMs));
    }

    /** After this time under a new fencing token, a machine that sent no heartbeat has lost its tasks. */
    public long fencingDelayMs() {
        return graceMs() + workerLeaseMs + driftMs(graceMs() + workerLeaseMs);
    }

    /** A worker whose last answered heartbeat is older than this has begun a new agent epoch. */
    public long workerExpiryMs() {
        return workerLeaseMs + driftMs(workerLeaseMs);
    }

    /**
     * The life of a controller's lease in the key-value store: an eighth of a worker's. Until it expires nobody starts tasks
     * on a failed owner's machines; a renewal that is later costs a new lease and a new fencing token, but no task.
     */
    public long controllerLeaseMs() {
        return Math.max(MIN_CONTROLLER_LEASE_MS, workerLeaseMs / CONTROLLER_LEASE_PART);
    }

    /** How long every live controller must have been up before a layout version is activated. */
    public long activationDelayMs() {
        return Math.round(features.activationDelayLeases() * workerLeaseMs);
    }

    /** How long the leader waits for better bids: a tenth of the tightest waiting objective, two seconds at most. */
    public long bidWindowMs() {
        double tightestS = DEFAULT_START_S;
        for (ServiceLevelObjective objective : objectives) {
            if (objective.withinS() > 0
                    && (objective.kind() == ObjectiveKind.START || objective.kind() == ObjectiveKind.GUARANTEE)) {
                tightestS = Math.min(tightestS, objective.withinS());
            }
        }
        return Math.round(tightestS * WINDOW_MS_PER_S);
    }

    /** Direct requests to workers that a partition owner may have under way at a time; each takes a connection. */
    public int maxConcurrentWorkerRequests() {
        return Math.max(MIN_WORKER_REQUESTS, maxConnections / WORKER_REQUESTS_PART);
    }

    /**
     * Cancellations by other controllers that a partition owner remembers: as many as the key-value store can take until the
     * tasks of one would be terminated in any case. It counts a second's burst beside the steady rate.
     */
    public int cancellationsRemembered() {
        return (int) Math.ceil(stateWritesPerS * (cancellationDeadlineMs / 1000.0 + 1));
    }

    /** Terminal jobs that a controller remembers, so that it needn't read them from the key-value store. */
    public int terminalJobsRemembered() {
        return (int) Math.ceil(stateWritesPerS * COMPLETED_JOBS_REMEMBERED_S / CHANGES_PER_COMPLETED_JOB);
    }

    /** The zone of the named controller; empty when there is none of that name. */
    public String zoneOfController(String name) {
        ControllerAddress controller = controller(name);
        return controller == null ? "" : controller.zone();
    }

    /** The named controller, or null. */
    public ControllerAddress controller(String name) {
        for (ControllerAddress controller : controllers) {
            if (controller.name().equals(name)) {
                return controller;
            }
        }
        return null;
    }

    /** Teams by name, in the given order. */
    public static Map<String, Team> byName(List<Team> teams) {
        Map<String, Team> byName = new LinkedHashMap<>();
        for (Team team : teams) {
            byName.put(team.name(), team);
        }
        return byName;
    }
}
