import java.util.List;
import java.util.Map;

/** A large job that is bound to one zone loses its machine; a smaller job that any zone may run has to go on all the same. */
final class ScarceCase {
    private static final String A = "athina-a";
    private static final String B = "thessaloniki-b";
    /** Large tasks for the first zone. */
    private static final String LARGE = "wk-000001";
    /** Large tasks that keep the other zone busy until their user cancels them. */
    private static final String OTHER = "wk-000002";
    /** Long small tasks that fill the small machine. */
    private static final String LONG = "wk-000003";

    private static final String LONG_TOO = "wk-000005";
    /** The job that has to go on. */
    private static final String SMALL = "wk-000004";

    private ScarceCase() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = Cluster.trouble();
        Cluster c = new Cluster(args[0]);
        Cluster.Type elia = new Cluster.Type("elia-8", 8, 32, 1, List.of(A, B));
        Cluster.Type platanos = new Cluster.Type("platanos-32", 32, 128, 1, List.of(A, B));
        c.types.add(elia);
        c.types.add(platanos);
        c.controllers("hive-0", A, "hive-1", B, "hive-2", A);
        c.startAll();
        if (!c.awaitReady(15)) {
            c.end(2, "the controllers aren't ready");
        }
        c.worker(1, elia, A, true);
        c.worker(2, platanos, A, true);
        c.worker(3, platanos, B, true);
        Thread.sleep(1500);
        begin(c, job(c, LARGE, 2, 16, 150, "high", A), 2);
        begin(c, job(c, OTHER, 2, 16, 150, "high", B), 2);
        begin(c, job(c, LONG, 1, 4, 150, "high", A), 1);
        // Room for one task at a time: the first runs, and a job of higher rank takes the room behind it.
        begin(c, job(c, SMALL, 2, 4, 3, "standard", null), 1);
        begin(c, job(c, LONG_TOO, 1, 4, 150, "high", A), 1);
        c.note("tasks on machines: " + c.running);
        if (c.starts.containsKey(SMALL + "/0") == c.starts.containsKey(SMALL + "/1")) {
            c.end(2, "not one of the two tasks has run");
        }
        if (trouble) {
            c.note("the cloud takes m-000002, the platanos-32 of " + A + ", without notice");
            c.workers.get("m-000002").die();
            c.workers.remove("m-000002");
        }
        long end = Cluster.ms() + 30_000;
        while (trouble && Cluster.ms() < end && !"pending".equals(c.poll("hive-0", LARGE).field("mood"))) {
            Thread.sleep(500);
        }
        c.cancel("hive-0", OTHER);
        end = Cluster.ms() + 35_000;
        while (Cluster.ms() < end && c.tasksOnMachines(OTHER) > 0) {
            Thread.sleep(50);
        }
        long idle = Cluster.ms();
        c.note("m-000003, platanos-32 of " + B + ", is empty: " + (c.tasksOnMachines(OTHER) == 0));
        while (Cluster.ms() - idle < 91_500) {
            Thread.sleep(1500);
            Http.Answer answer = c.poll("hive-1", SMALL);
            if ("done".equals(answer.field("mood"))) {
                c.end(0, "the job is done");
            }
            c.note("tasks on m-000003: "
                    + c.running.entrySet().stream()
                            .filter(task -> task.getValue().contains("m-000003"))
                            .map(Map.Entry::getKey)
                            .toList());
        }
        boolean started = c.starts.containsKey(SMALL + "/0") && c.starts.containsKey(SMALL + "/1");
        c.end(started ? 0 : 1, started
                ? "the second task has started"
                : "the job waits for " + (Cluster.ms() - idle) / 1000 + " s while m-000003 is empty");
    }

    private static Map<String, Object> job(
            Cluster c, String id, int chores, double cpus, double runS, String rank, String zone) {
        Map<String, Object> job = c.job(id, chores, cpus, runS);
        job.put("rank", rank);
        job.put("field", zone);
        return job;
    }

    /** Submits a job and waits until that many of its tasks are on machines. */
    private static void begin(Cluster c, Map<String, Object> job, int tasks) throws InterruptedException {
        c.submit("hive-0", job);
        long end = Cluster.ms() + 15_000;
        while (c.tasksOnMachines((String) job.get("id")) < tasks) {
            if (Cluster.ms() > end) {
                c.end(2, job.get("id") + " doesn't begin");
            }
            Thread.sleep(50);
        }
    }
}
