package garnetscale.core;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The settings of the core, and the times and bounds that are derived from them. All times are in milliseconds. Values that
 * aren't settings are derived by fixed ratios; docs/operations.md has the ratios and their reasons.
 *
 * @param self the name of this controller
 * @param controllers all controllers, including this one
 * @param zones the zones of the cluster's machines
 * @param teams quotas by team name, in the order of the settings
 * @param objectives the operators' service-level objectives
 * @param heartbeatIntervalMs time between two heartbeats of a worker
 * @param workerLeaseMs time after sending its last answered heartbeat at which a worker kills its tasks
 * @param cancellationDeadlineMs time from a job's cancellation within which its tasks must be terminated
 * @param maxTransactionOperations the most operations in one transaction of the state service
 * @param stateRequestsPerS requests per second that the state service accepts from all controllers together
 * @param stateWritesPerS writes per second that the state service accepts from all controllers together
 * @param maxValueBytes the largest size of one stored value, in bytes
 * @param cloudRequestsPerS requests per second that the cloud accepts
 * @param instanceListLagMs usual age of the cloud's instance list; it may be twice as old
 * @param maxConnections the most TCP connections that this process may have open
 * @param wallClockErrorMs the largest error of wall-clock time
 * @param features the features that operators have switched on
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

    /** Seconds for which terminal jobs are remembered when they end as fast as the state service can record them. */
    private static final double TERMINAL_JOB_RETENTION_S = 200;

    private static final int WRITES_PER_TERMINAL_JOB = 2;
    /** The assumed clock drift is a time span divided by this: twenty times the 0.05% that PROTOCOL allows. */
    private static final int DRIFT_DIVISOR = 100;

    private static final long MIN_CONTROLLER_LEASE_MS = 1500;
    /** A controller's lease is a worker's lease divided by this. */
    private static final int CONTROLLER_LEASE_DIVISOR = 8;
    /** The time left for stopping tasks after the grace period is the cancellation deadline divided by this. */
    private static final int STOP_TIME_DIVISOR = 16;
    /** Objective in seconds for the bid window if the settings have no tighter start or guarantee objective. */
    private static final double DEFAULT_START_S = 20;
    /** Milliseconds of the bid window for each second of the tightest objective: a tenth. */
    private static final double WINDOW_MS_PER_S = 100;

    private static final int MIN_WORKER_REQUESTS = 8;
    /** Requests to workers may use as many connections as the maximum divided by this. */
    private static final int WORKER_REQUESTS_DIVISOR = 16;

    /** A controller's name, zone and address ({@code host:port}). */
    public record ControllerAddress(String name, String zone, String address) {}

    /**
     * A team's quota.
     *
     * @param cpus guaranteed CPUs
     * @param cpusMax limit of CPUs; infinite for no limit
     * @param gpus guaranteed GPUs
     * @param gpusMax limit of GPUs; infinite for no limit
     */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

    /** What a service-level objective requires. */
    public enum ObjectiveKind {
        /** Jobs of the class start within a time. */
        START,
        /** Jobs of the class are complete within a time. */
        COMPLETION,
        /** Jobs of the class are complete within a multiple of their own deadline. */
        DEADLINE,
        /** Teams below their guarantee get the resources that they ask for within a time. */
        GUARANTEE,
        /** A kind that this version doesn't use. */
        OTHER
    }

    /**
     * A service-level objective. Components that its kind doesn't use are 0 or empty.
     *
     * @param jobClass the class of the jobs that the objective applies to
     * @param withinS time limit in seconds
     * @param share the share of jobs that have to meet the objective, from 0 to 1
     * @param times time limit as a multiple of a job's own deadline
     */
    public record ServiceLevelObjective(
            ObjectiveKind kind, String jobClass, double withinS, double share, double times) {}

    /** Returns a bound on clock drift during {@code spanMs}, plus half a heartbeat interval for a process that runs late. */
    private long driftMs(long spanMs) {
        return spanMs / DRIFT_DIVISOR + heartbeatIntervalMs / 2;
    }

    /**
     * Returns the grace period: how long a partition owner goes on answering heartbeats after it sent the last request that
     * confirmed that its replica is complete. It is as long as possible, since a longer period lets tasks survive a longer outage
     * of the state service. The grace period, a worker's lease and the margins together stay below {@link
     * #cancellationDeadlineMs}, since an owner in its grace period may not know of a cancellation.
     */
    public long graceMs() {
        return Math.max(
                0,
                cancellationDeadlineMs
                        - workerLeaseMs
                        - cancellationDeadlineMs / STOP_TIME_DIVISOR
                        - driftMs(cancellationDeadlineMs));
    }

    /** Returns the time after which a machine that has sent no heartbeat under a new fencing token no longer runs any task. */
    public long fencingDelayMs() {
        return graceMs() + workerLeaseMs + driftMs(graceMs() + workerLeaseMs);
    }

    /** Returns the age of the last answered heartbeat beyond which a worker has begun a new agent epoch. */
    public long workerExpiryMs() {
        return workerLeaseMs + driftMs(workerLeaseMs);
    }

    /**
     * Returns the time to live of a controller's lease in the state service: an eighth of a worker's lease, at least 1.5 s. No
     * task is started on the machines of a failed owner until its lease expires. After a renewal that is later than this, the
     * controller needs a new lease and a new fencing token, but no task is killed.
     */
    public long controllerLeaseMs() {
        return Math.max(MIN_CONTROLLER_LEASE_MS, workerLeaseMs / CONTROLLER_LEASE_DIVISOR);
    }

    /** Returns how long every live controller must have been up before a layout version is activated. */
    public long activationDelayMs() {
        return Math.round(features.activationDelayLeases() * workerLeaseMs);
    }

    /** Returns how long the leader waits for better bids: a tenth of the tightest start or guarantee objective, at most 2 s. */
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

    /** Returns the most direct requests to workers that a partition owner may have in flight; each takes a connection. */
    public int maxConcurrentWorkerRequests() {
        return Math.max(MIN_WORKER_REQUESTS, maxConnections / WORKER_REQUESTS_DIVISOR);
    }

    /**
     * Returns how many cancellations by other controllers a partition owner remembers: as many as the state service can record
     * until the tasks of a cancelled job would be terminated in any case. That is the steady rate plus a burst of one second.
     */
    public int maxRememberedCancellations() {
        return (int) Math.ceil(stateWritesPerS * (cancellationDeadlineMs / 1000.0 + 1));
    }

    /** Returns how many terminal jobs a controller remembers, so that it needn't read them from the state service. */
    public int maxRememberedTerminalJobs() {
        return (int) Math.ceil(stateWritesPerS * TERMINAL_JOB_RETENTION_S / WRITES_PER_TERMINAL_JOB);
    }

    /** Returns the zone of the named controller, or an empty string if there is none of that name. */
    public String zoneOfController(String name) {
        ControllerAddress controller = controller(name);
        return controller == null ? "" : controller.zone();
    }

    /** Returns the named controller, or null if there is none of that name. */
    public ControllerAddress controller(String name) {
        for (ControllerAddress controller : controllers) {
            if (controller.name().equals(name)) {
                return controller;
            }
        }
        return null;
    }

    /** Returns the teams by name, in the given order. */
    public static Map<String, Team> byName(List<Team> teams) {
        Map<String, Team> byName = new LinkedHashMap<>();
        for (Team team : teams) {
            byName.put(team.name(), team);
        }
        return byName;
    }
}
