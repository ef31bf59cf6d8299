package garnetscale.core;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** Builds settings of the core for tests, from those of a small or a large cluster. */
public final class TestConfig {

    private static final long WALL_CLOCK_ERROR_MS = 25;

    private String self = "n0";
    private List<SchedulerConfig.ControllerAddress> controllers =
            List.of(new SchedulerConfig.ControllerAddress("n0", "a", ""));
    private List<String> zones = List.of("a");
    private Map<String, SchedulerConfig.Team> teams = Map.of();
    private List<SchedulerConfig.ServiceLevelObjective> objectives = List.of();
    private long heartbeatIntervalMs = 1000;
    private long workerLeaseMs = 10_000;
    private long cancellationDeadlineMs = 35_000;
    private int maxTransactionOperations = 24;
    private double stateRequestsPerS = 150;
    private double stateWritesPerS = 60;
    private double cloudRequestsPerS = 1.5;
    private long listLagMs = 10_000;
    private int maxConnections = 600;
    private int valueBytes = 16 * 1024;
    private Features features = Features.NONE;

    private TestConfig() {}

    /** Returns settings of a small cluster: a heartbeat every second, and at most 600 connections. */
    public static TestConfig small() {
        return new TestConfig();
    }

    /** Returns settings of a large cluster: a heartbeat every five seconds, and at most 2,500 connections. */
    public static TestConfig large() {
        TestConfig config = new TestConfig();
        config.heartbeatIntervalMs = 5000;
        config.workerLeaseMs = 22_000;
        config.cancellationDeadlineMs = 47_000;
        config.maxTransactionOperations = 32;
        config.stateRequestsPerS = 100;
        config.stateWritesPerS = 40;
        config.cloudRequestsPerS = 6;
        config.listLagMs = 3000;
        config.maxConnections = 2500;
        return config;
    }

    public TestConfig self(String name) {
        self = name;
        return this;
    }

    public TestConfig controllers(List<SchedulerConfig.ControllerAddress> all) {
        controllers = all;
        return this;
    }

    public TestConfig zones(List<String> all) {
        zones = all;
        return this;
    }

    public TestConfig teams(SchedulerConfig.Team... all) {
        teams = SchedulerConfig.byName(Arrays.asList(all));
        return this;
    }

    public TestConfig objectives(SchedulerConfig.ServiceLevelObjective... all) {
        objectives = List.of(all);
        return this;
    }

    /** Sets the workers' heartbeat interval, lease and cancellation deadline, in milliseconds. */
    public TestConfig workers(long heartbeat, long lease, long cancel) {
        heartbeatIntervalMs = heartbeat;
        workerLeaseMs = lease;
        cancellationDeadlineMs = cancel;
        return this;
    }

    public TestConfig state(double requestsPerS, double writesPerS) {
        stateRequestsPerS = requestsPerS;
        stateWritesPerS = writesPerS;
        return this;
    }

    public TestConfig valueBytes(int bytes) {
        valueBytes = bytes;
        return this;
    }

    public TestConfig features(Features all) {
        features = all;
        return this;
    }

    public TestConfig listLagMs(long lag) {
        listLagMs = lag;
        return this;
    }

    public SchedulerConfig build() {
        return new SchedulerConfig(
                self,
                controllers,
                zones,
                teams,
                objectives,
                heartbeatIntervalMs,
                workerLeaseMs,
                cancellationDeadlineMs,
                maxTransactionOperations,
                stateRequestsPerS,
                stateWritesPerS,
                valueBytes,
                cloudRequestsPerS,
                listLagMs,
                maxConnections,
                WALL_CLOCK_ERROR_MS,
                features);
    }
}
