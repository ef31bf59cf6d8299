import java.util.Map;

/** After a burst of urgent jobs, a job of a guest team that has begun isn't continued although a machine is empty. */
public final class Case7 {
    public static void main(String[] args) throws Exception {
        World world = new World(7, "ankara-salon", "izmir-depo", "istanbul-kiralik");
        world.teams += World.team("ege-flora", 0, 0);
        world.objectives = World.waitObjective("etiket-okuma", 1.0);
        for (World.Node node : world.nodes) {
            world.start(node);
        }
        int number = 0;
        for (String zone : world.zones) {
            world.startWorker("m-00010" + number++, zone);
        }
        if (!world.awaitReady(20)) {
            world.end(2, "the controllers didn't become ready");
        }
        world.sleepUntil(world.seconds() + 4);
        // Two of the three machines have work for the rest of the test.
        for (int i = 0; i < 2; i++) {
            Map<String, Object> busy = World.job(
                    "wk-00000" + (1 + i), "gece-dikis", "imaging", "standard", 4, 8.0, world.zones.get(i), 150.0);
            check(world, world.submit(busy, 150), "a job of the night");
        }
        World.Node free = world.nodes.get(2);
        Worker machine = world.workers.get(2);
        if (!await(world, 12, () -> world.workers.get(0).freeCpus() == 0 && world.workers.get(1).freeCpus() == 0)) {
            world.end(2, "the two machines didn't get their work");
        }
        Map<String, Object> guest = World.job("wk-000003", "bos-zaman-ocr", "ege-flora", "low", 2, 24.0, null, 12.0);
        check(world, world.submit(guest, 12), "the guest's job");
        if (!await(world, 20, () -> machine.runs("wk-000003"))) {
            world.end(2, "the guest's job didn't begin");
        }
        Thread.sleep(4000);
        if (world.trouble) {
            for (int i = 0; i < 3; i++) {
                Map<String, Object> urgent = World.job(
                        "wk-00001" + i, "etiket-okuma", "cataloguers", "high", 8, 2.0, free.zone, 2.0);
                check(world, world.submit(urgent, 2), "an urgent job");
            }
            for (int i = 0; i < 3; i++) {
                String id = "wk-00001" + i;
                if (!await(world, 30, () -> "done".equals(world.get(free, "/v2/runs/" + id, 2000).mood()))) {
                    world.end(2, "the urgent jobs weren't done");
                }
            }
            world.log("the burst is over");
        }
        if (!await(world, 20, () -> machine.freeCpus() == 32
                || "done".equals(world.get(free, "/v2/runs/wk-000003", 2000).mood())
                || world.get(free, "/v2/runs/wk-000003", 2000).body().get("done").equals(1) && machine.runs("wk-000003"))) {
            world.end(2, "the third machine didn't become empty");
        }
        double overS = world.seconds();
        boolean hadRoom = true;
        while (world.seconds() < overS + 90.5) {
            World.Answer answer = world.get(free, "/v2/runs/wk-000003", 2000);
            if (machine.runs("wk-000003") || "done".equals(answer.mood())) {
                world.log("poll: " + answer);
                world.end(0, "the guest's job went on after " + (world.seconds() - overS) + " s");
            }
            hadRoom &= machine.freeCpus() == 32;
            if ((int) world.seconds() % 10 == 0) {
                world.log("poll: " + answer + ", free on " + machine.id + ": " + machine.freeCpus());
            }
            Thread.sleep(1000);
            if (world.seconds() > 116) {
                world.end(2, "out of time");
            }
        }
        world.end(hadRoom ? 1 : 2, "the guest's job waited for 90 s while " + machine.id + " was empty: " + hadRoom);
    }

    private interface Condition {
        boolean holds() throws InterruptedException;
    }

    private static boolean await(World world, double forS, Condition condition) throws InterruptedException {
        double untilS = world.seconds() + forS;
        while (world.seconds() < untilS) {
            if (condition.holds()) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    private static void check(World world, World.Answer answer, String what) {
        if (answer.status() != 201 && answer.status() != 200) {
            world.end(2, what + " wasn't accepted: " + answer);
        }
    }
}
