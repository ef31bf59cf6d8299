import java.util.List;
import java.util.Objects;

/**
 * A controller is cut off from the state service and the other controllers while a job is accepted and done. Afterwards it must
 * not call the job anything else.
 */
final class OrderCase {
    private static final String A = "athina-a";
    private static final String B = "thessaloniki-b";
    private static final String JOB = "wk-000001";

    private OrderCase() {}

    public static void main(String[] args) throws Exception {
        Cluster c = new Cluster(args[0]);
        Cluster.Type elia = new Cluster.Type("elia-8", 8, 32, 1, List.of(A, B));
        c.types.add(elia);
        c.state.newestFirst = true;
        c.controllers("hive-0", A, "hive-1", B, "hive-2", A);
        c.startAll();
        if (!c.awaitReady(20)) {
            c.end(2, "the controllers aren't ready");
        }
        for (int i = 1; i <= 8; i++) {
            c.worker(i, elia, i <= 5 ? A : B);
        }
        Thread.sleep(4000);
        String leader = c.leader();
        String cut = c.listen.keySet().stream().filter(name -> !name.equals(leader)).findFirst().orElseThrow();
        c.note("leader " + leader);
        if (Cluster.trouble()) {
            c.cutFromStateAndPeers(cut, true);
        }
        long cutAt = Cluster.ms();
        if (c.submit(leader, c.job(JOB, 2, 4, 2)).status() != 201) {
            c.end(2, "the job isn't accepted");
        }
        long end = Cluster.ms() + 25_000;
        Object told = null;
        while (Cluster.ms() < end && !"done".equals(told)) {
            Thread.sleep(500);
            told = c.poll(leader, JOB).field("mood");
        }
        if (!"done".equals(told)) {
            c.end(2, "the job isn't done in time");
        }
        if (Cluster.trouble()) {
            c.note("cut for " + (Cluster.ms() - cutAt) / 1000.0 + " s");
            c.cutFromStateAndPeers(cut, false);
        }
        // Users reach a controller when it is ready.
        long since = Cluster.ms();
        while (Cluster.ms() - since < 20_000 && !(c.ready(cut) && Cluster.ms() - since > 2000)) {
            Thread.sleep(200);
        }
        c.note(cut + " is ready: " + c.ready(cut));
        int answers = 0;
        int older = 0;
        for (int i = 0; i < 20; i++) {
            Http.Answer answer = c.poll(cut, JOB);
            if (answer.status() == 200) {
                answers++;
                older += Objects.equals(answer.field("mood"), "done") ? 0 : 1;
            } else if (answer.status() == 404) {
                older++;
            }
            c.poll(leader, JOB);
            Thread.sleep(500);
        }
        if (answers == 0 && older == 0) {
            c.end(2, cut + " gives no answer");
        }
        c.end(older > 0 ? 1 : 0, older + " of " + answers + " answers of " + cut + " are older than done");
    }
}
