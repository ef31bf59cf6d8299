package garnetscale.core;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** Builds the core's figures for tests: those of a small cluster or of a large one, with what a test needs changed. */
public final class TestParams {

    private static final long CLOCK_OFF_MS = 25;

    private String self = "n0";
    private List<Params.Member> members = List.of(new Params.Member("n0", "a", ""));
    private List<String> zones = List.of("a");
    private Map<String, Params.Team> teams = Map.of();
    private List<Params.Objective> objectives = List.of();
    private long reportMs = 1000;
    private long leaseMs = 10_000;
    private long cancelMs = 35_000;
    private int txnOps = 24;
    private double stateRps = 150;
    private double stateWritesPerS = 60;
    private double cloudRps = 1.5;
    private long listLagMs = 10_000;
    private int maxConnections = 600;
    private int valueBytes = 16 * 1024;
    private Features features = Features.NONE;

    private TestParams() {}

    /** Workers report every second, and 600 connections are allowed. */
    public static TestParams small() {
        return new TestParams();
    }

    /** Workers report every five seconds, and 2,500 connections are allowed. */
    public static TestParams large() {
        TestParams params = new TestParams();
        params.reportMs = 5000;
        params.leaseMs = 22_000;
        params.cancelMs = 47_000;
        params.txnOps = 32;
        params.stateRps = 100;
        params.stateWritesPerS = 40;
        params.cloudRps = 6;
        params.listLagMs = 3000;
        params.maxConnections = 2500;
        return params;
    }

    public TestParams self(String name) {
        self = name;
        return this;
    }

    public TestParams members(List<Params.Member> all) {
        members = all;
        return this;
    }

    public TestParams zones(List<String> all) {
        zones = all;
        return this;
    }

    public TestParams teams(Params.Team... all) {
        teams = Params.byName(Arrays.asList(all));
        return this;
    }

    public TestParams objectives(Params.Objective... all) {
        objectives = List.of(all);
        return this;
    }

    public TestParams workers(long report, long lease, long cancel) {
        reportMs = report;
        leaseMs = lease;
        cancelMs = cancel;
        return this;
    }

    public TestParams state(double requestsPerS, double writesPerS) {
        stateRps = requestsPerS;
        stateWritesPerS = writesPerS;
        return this;
    }

    public TestParams valueBytes(int bytes) {
        valueBytes = bytes;
        return this;
    }

    public TestParams features(Features all) {
        features = all;
        return this;
    }

    public TestParams listLagMs(long lag) {
        listLagMs = lag;
        return this;
    }

    public Params build() {
        return new Params(
                self,
                members,
                zones,
                teams,
                objectives,
                reportMs,
                leaseMs,
                cancelMs,
                txnOps,
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
