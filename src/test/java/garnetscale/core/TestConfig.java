package garnetscale.core;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** Builds the core's settings for tests: those of a small or a large cluster, with the changes that a test needs. */
public final class TestConfig {

    private static final long CLOCK_OFF_MS = 25;

    private String self = "n0";
    private List<SchedulerConfig.ControllerAddress> controllers =
            List.of(new SchedulerConfig.ControllerAddress("n0", "a", ""));
    private List<String> zones = List.of("a");
    private Map<String, SchedulerConfig.Team> teams = Map.of();
    private List<SchedulerConfig.ServiceLevelObjective> objectives = List.of();
    private long heartbeatIntervalMs = 1000;
    private long leaseMs = 10_000;
    private long cancelMs = 35_000;
    private int transactionOps = 24;
    private double stateRps = 150;
    private double stateWritesPerS = 60;
    private double cloudRps = 1.5;
    private long listLagMs = 10_000;
    private int maxConnections = 600;
    private int valueBytes = 16 * 1024;
    private Features features = Features.NONE;

    private TestConfig() {}

    /** A heartbeat every second, and at most 600 connections. */
    public static TestConfig small() {
        return new TestConfig();
    }

    /** A heartbeat every five seconds, and at most 2,500 connections. */
    public static TestConfig large() {
        TestConfig config = new TestConfig();
        config.heartbeatIntervalMs = 5000;
        config.leaseMs = 22_000;
        config.cancelMs = 47_000;
        config.transactionOps = 32;
        config.stateRps = 100;
        config.stateWritesPerS = 40;
        config.cloudRps = 6;
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

    /** Heartbeat interval, lease and cancellation deadline of workers, in milliseconds. */
    public TestConfig workers(long heartbeat, long lease, long cancel) {
        heartbeatIntervalMs = heartbeat;
        leaseMs = lease;
        cancelMs = cancel;
        return this;
    }

    public TestConfig state(double requestsPerS, double writesPerS) {
        stateRps = requestsPerS;
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
                leaseMs,
                cancelMs,
                transactionOps,
                stateRps,
                stateWritesPerS,
                valueBytes,
                cloudRps,
                listLagMs,
                maxConnections,
                CLOCK_OFF_MS,
                features);
    }
}
