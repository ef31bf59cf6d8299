package garnetscale.core.job;

import java.util.List;

/** Builds jobs for tests. The defaults are class c, team red, and one task of one CPU with an estimate of ten seconds. */
public final class TestJob {

    private final String id;
    private String jobClass = "c";
    private String team = "red";
    private Priority priority = Priority.NORMAL;
    private int tasks = 1;
    private double cpus = 1;
    private List<String> types;
    private String zone;
    private boolean spot = true;
    private boolean zoneAffinity;
    private boolean zoneAntiAffinity;
    private double imageGb;
    private double estimateS = 10;
    private Double deadlineS;

    private TestJob(String id) {
        this.id = id;
    }

    public static TestJob named(String id) {
        return new TestJob(id);
    }

    public TestJob jobClass(String name) {
        jobClass = name;
        return this;
    }

    public TestJob team(String name) {
        team = name;
        return this;
    }

    public TestJob priority(Priority value) {
        priority = value;
        return this;
    }

    public TestJob tasks(int count) {
        tasks = count;
        return this;
    }

    public TestJob cpus(double perTask) {
        cpus = perTask;
        return this;
    }

    public TestJob types(List<String> allowed) {
        types = allowed;
        return this;
    }

    public TestJob zone(String name) {
        zone = name;
        return this;
    }

    public TestJob spot(boolean value) {
        spot = value;
        return this;
    }

    public TestJob zoneAffinity(boolean value) {
        zoneAffinity = value;
        return this;
    }

    public TestJob zoneAntiAffinity(boolean value) {
        zoneAntiAffinity = value;
        return this;
    }

    public TestJob imageGb(double size) {
        imageGb = size;
        return this;
    }

    public TestJob estimateS(double seconds) {
        estimateS = seconds;
        return this;
    }

    public TestJob deadlineS(Double seconds) {
        deadlineS = seconds;
        return this;
    }

    public JobSpec build() {
        return new JobSpec(
                id,
                jobClass,
                team,
                priority,
                tasks,
                cpus,
                0,
                1,
                types,
                zone,
                zoneAffinity,
                zoneAntiAffinity,
                spot,
                "img",
                imageGb,
                estimateS,
                0,
                0,
                deadlineS);
    }
}
