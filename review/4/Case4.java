import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** The leader crashes and is back after 3 s, while a few answers of the state service to the new leader are 0.4 s late. */
public final class Case4 {
    private static final long LATE_MS = 400;
    /** How late one of the two others hears that there is no leader, so that the other one is elected. */
    private static final long NO_LEADER_LATE_MS = 200;

    public static void main(String[] args) throws Exception {
        World world = new World(4, "ankara-salon", "izmir-depo", "istanbul-kiralik");
        world.objectives = World.waitObjective("etiket-okuma", 1.0);
        for (World.Node node : world.nodes) {
            world.start(node);
        }
        int number = 0;
        for (String zone : world.zones) {
            for (int i = 0; i < 2; i++) {
                world.startWorker("m-00010" + number++, zone);
            }
        }
        if (!world.awaitReady(20)) {
            world.end(2, "the controllers didn't become ready");
        }
        // Waits until the first leader has read the cloud's list, which lags by 3 s, and every worker has reported.
        world.sleepUntil(world.seconds() + 6);
        Map<?, ?> leader = world.state.peek("g/leader");
        if (leader == null) {
            world.end(2, "there is no leader");
        }
        World.Node crashed = world.nodes.stream()
                .filter(node -> node.name.equals(leader.get("h")))
                .findFirst()
                .orElseThrow();
        world.log("leader is " + crashed.name + " in zone " + crashed.zone);
        AtomicInteger late = new AtomicInteger();
        if (world.trouble) {
            delayAnswers(world, crashed, late);
            world.kill(crashed);
            Thread.sleep(3000);
            world.start(crashed);
            Thread.sleep(10_000);
            world.state.trouble = new StateStore.Trouble() {};
        }
        double overS = world.seconds();
        world.log("the troubles are over; late answers: " + late);
        if (!world.awaitReady(overS + 10)) {
            world.end(2, "the controllers didn't become ready again");
        }
        Map<String, Object> job =
                World.job("wk-000001", "etiket-okuma", "cataloguers", "high", 2, 2.0, crashed.zone, 12.0);
        World.Answer answer = world.submit(job, 12.0);
        if (answer.status() != 201) {
            world.end(2, "the job wasn't accepted: " + answer);
        }
        double acceptedS = world.seconds();
        boolean hadRoom = true;
        while (world.seconds() < acceptedS + 90 && world.seconds() < 117.5) {
            List<Worker> fitting = world.workers.stream()
                    .filter(worker -> worker.zone.equals(crashed.zone) && worker.isUp() && worker.freeCpus() >= 2)
                    .toList();
            hadRoom &= !fitting.isEmpty();
            if (fitting.stream().anyMatch(worker -> worker.runs("wk-000001"))) {
                world.end(0, "the job began after " + (world.seconds() - acceptedS) + " s");
            }
            Thread.sleep(200);
            if ((int) world.seconds() % 15 == 0) {
                world.log("poll: " + world.get(world.nodes.get(0), "/v2/runs/wk-000001", 2000) + ", machines with room: "
                        + fitting.stream().map(worker -> worker.id + " free=" + worker.freeCpus()).toList());
                Thread.sleep(1000);
            }
        }
        double waitedS = world.seconds() - acceptedS;
        if (!hadRoom) {
            world.end(2, "no machine that fits had room all the time");
        }
        if (waitedS < 90) {
            world.end(2, "out of time after " + waitedS + " s");
        }
        world.end(1, "the job waited for " + waitedS + " s while a machine that fits had room");
    }

    /**
     * Each time the new leader hands out machines, the next answers to its watches are late. Before that, one of the two others hears
     * a little late that there is no leader: a new leader that takes the crashed one's machines itself knows of them.
     */
    private static void delayAnswers(World world, World.Node crashed, AtomicInteger late) {
        World.Node other = world.nodes.stream().filter(node -> node != crashed).findFirst().orElseThrow();
        world.state.trouble = new StateStore.Trouble() {
            private volatile World.Node leader;
            private volatile long handedOutAt = Long.MIN_VALUE / 2;
            private volatile long noLeaderSince = Long.MIN_VALUE;

            @Override
            public void beforeArrival(StateStore.Request request) {
                if (request.path().equals("/multi")
                        && request.body().get("then") instanceof List<?> then
                        && then.stream().anyMatch(op -> String.valueOf(((Map<?, ?>) op).get("set")).startsWith("g/b/"))) {
                    leader = request.node();
                    handedOutAt = System.nanoTime() / 1_000_000;
                    world.log("leader " + leader.name + " hands out machines: "
                            + then.stream().map(op -> ((Map<?, ?>) op).get("set") + "=" + ((Map<?, ?>) op).get("v")).toList());
                }
            }

            @Override
            public long answerDelayMs(StateStore.Request request, int status) {
                long now = System.nanoTime() / 1_000_000;
                if (request.node() == other && request.path().equals("/follow") && world.state.peek("g/leader") == null) {
                    noLeaderSince = noLeaderSince == Long.MIN_VALUE ? now : noLeaderSince;
                    late.incrementAndGet();
                    return Math.max(0, noLeaderSince + NO_LEADER_LATE_MS - now);
                }
                long leftMs = handedOutAt + LATE_MS - now;
                if (request.node() == leader && request.path().equals("/follow") && leftMs > 0) {
                    late.incrementAndGet();
                    return leftMs;
                }
                return 0;
            }
        };
    }
}
