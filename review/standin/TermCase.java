import java.util.List;
import java.util.Map;

/**
 * A controller ends and returns, and then a request that was carried out before arrives once more at the state service: the
 * transaction by which the leader leased the blocks at the start. All work has to run all the same.
 */
final class TermCase {
    private static final String A = "athina-a";
    private static final String B = "thessaloniki-b";
    private static final String BLOCK = "g/b/athina-a/0";

    private TermCase() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = Cluster.trouble();
        Cluster c = new Cluster(args[0]);
        Cluster.Type elia = new Cluster.Type("elia-8", 8, 32, 1, List.of(A, B));
        Cluster.Type platanos = new Cluster.Type("platanos-32", 32, 128, 1, List.of(A, B));
        c.types.add(elia);
        c.types.add(platanos);
        c.controllers("hive-0", A, "hive-1", B, "hive-2", A);
        String ending = boot(c);
        for (int i = 1; i <= 8; i++) {
            c.worker(i, i == 2 ? platanos : elia, i <= 4 ? A : B);
        }
        c.awaitReady(10);
        // The only machine on which a task of nyxta-match fits works.
        c.submit("hive-0", nyxta(c, "wk-000001", 2));
        if (!awaitDone(c, "wk-000001", 15)) {
            c.end(2, "the first job isn't done");
        }
        State.Done lease = leaseOfBlock(c);
        if (trouble) {
            c.kill(ending);
            Thread.sleep(5000);
            c.start(ending);
            // The leader gives a returned controller a block once that has been there for 3 s.
            awaitBlockOf(c, ending);
            Thread.sleep(1000);
            c.note("blocks before the repeat: " + c.state.all("g/b/"));
        }
        // REPEAT=0 leaves only the repeat out.
        if (trouble && !"0".equals(System.getenv("REPEAT"))) {
            c.note("the request that " + lease.node() + " sent at ledger " + lease.ledger() + " arrives once more: "
                    + lease.request());
            Http.Answer answer = c.state.multi(lease.node(), lease.body(), lease.request());
            c.note("the state service carries it out again -> " + answer.status() + " ledger=" + answer.field("ledger"));
            if (answer.status() != 200) {
                c.end(2, "the guards of the repeated request no longer hold");
            }
        }
        Thread.sleep(1000);
        c.note("blocks: " + c.state.all("g/b/"));
        c.submit("hive-0", nyxta(c, "wk-000002", 5));
        long submitted = Cluster.ms();
        while (Cluster.ms() - submitted < 90_500) {
            Thread.sleep(1500);
            if ("done".equals(c.poll("hive-1", "wk-000002").field("mood"))) {
                c.end(0, "the job has run");
            }
            Worker worker = c.workers.get("m-000002");
            if (worker != null && !c.starts.containsKey("wk-000002/0")) {
                c.note("platanos-32 m-000002: 200 to " + worker.answered + " reports so far; last other answer: "
                        + worker.lastRefusal);
            }
        }
        c.note("blocks: " + c.state.all("g/b/"));
        boolean started = c.starts.containsKey("wk-000002/0");
        boolean there = c.workers.containsKey("m-000002");
        c.end(started || !there ? 0 : 1, started
                ? "the job has started"
                : "the job waits for " + (Cluster.ms() - submitted) / 1000 + " s; its machine is there and idle: " + there);
    }

    /**
     * Starts the controllers until the leader isn't the owner of the second block of the first zone, and returns the name of
     * that owner: it is to end while the leader stays.
     */
    private static String boot(Cluster c) throws Exception {
        for (int attempt = 0; attempt < 8; attempt++) {
            c.startAll();
            long end = Cluster.ms() + 12_000;
            while (Cluster.ms() < end && !isSpread(c) && !isLeaderOfFirstZoneOwner(c)) {
                Thread.sleep(50);
            }
            String owner = owner(c, "g/b/athina-a/1");
            if (isSpread(c) && !owner.equals(c.leader()) && leaseOfBlock(c) != null) {
                c.note("leader " + c.leader() + ", blocks: " + c.state.all("g/b/"));
                return owner;
            }
            c.note("not the start that this case needs, once more: leader " + c.leader() + ", blocks " + c.state.all("g/b/"));
            for (String name : c.listen.keySet()) {
                c.kill(name);
            }
            c.state.clear();
        }
        c.end(2, "no start is the one that this case needs");
        return null;
    }

    /** Returns whether a leader in the first zone owns its second block, which it then keeps. */
    private static boolean isLeaderOfFirstZoneOwner(Cluster c) {
        String leader = c.leader();
        return leader != null && A.equals(c.zones.get(leader)) && leader.equals(owner(c, "g/b/athina-a/1"));
    }

    private static boolean isSpread(Cluster c) {
        return c.state.all("g/b/").values().stream()
                        .map(lease -> ((Map<?, ?>) lease).get("h"))
                        .distinct()
                        .count()
                == 3;
    }

    private static String owner(Cluster c, String block) {
        return c.state.get(block) instanceof Map<?, ?> lease ? (String) lease.get("h") : "";
    }

    private static void awaitBlockOf(Cluster c, String node) throws InterruptedException {
        long end = Cluster.ms() + 15_000;
        while (Cluster.ms() < end) {
            Object info = c.state.get("g/n/" + node);
            if (info instanceof Map<?, ?> controller
                    && c.state.all("g/b/").values().stream().anyMatch(lease ->
                            ((Map<?, ?>) lease).get("i").equals(controller.get("i")))) {
                return;
            }
            Thread.sleep(100);
        }
        c.end(2, "the returned controller got no block");
    }

    /** Returns the transaction by which the first block of the first zone has its present owner, or null. */
    private static State.Done leaseOfBlock(Cluster c) {
        synchronized (c.state.done) {
            for (State.Done done : c.state.done) {
                for (Object item : (List<?>) done.request().get("then")) {
                    Map<?, ?> op = (Map<?, ?>) item;
                    if (BLOCK.equals(op.get("set")) && op.get("v").equals(c.state.get(BLOCK))) {
                        return done;
                    }
                }
            }
        }
        return null;
    }

    /** A task of nyxta-match takes 16 CPUs, so that it fits platanos-32 only. */
    private static Map<String, Object> nyxta(Cluster c, String id, double runS) {
        Map<String, Object> job = c.job(id, 1, 16, runS);
        job.put("herd", "nyxta-match");
        job.put("rank", "standard");
        return job;
    }

    private static boolean awaitDone(Cluster c, String id, int seconds) throws InterruptedException {
        long end = Cluster.ms() + seconds * 1000L;
        while (Cluster.ms() < end) {
            if ("done".equals(c.poll("hive-1", id).field("mood"))) {
                return true;
            }
            Thread.sleep(500);
        }
        return false;
    }
}
