package garnetscale.core.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobState;
import garnetscale.core.job.TestJob;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Layouts;
import garnetscale.core.state.Records;
import garnetscale.core.state.Transaction;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.lifecycle.AfterContainer;

/** In any order of steps and failures, no controller writes while a version is active that it doesn't support. */
class UpgradePropertiesTest {

    private static final VersionRange OLD = VersionRange.FIRST;
    private static final VersionRange NEW = Layouts.SUPPORTED;
    private static final int CONTROLLERS = 3;

    /** Kinds of events. Transactions are kept and sent again later, as in a network that delays and duplicates messages. */
    enum Kind {
        START_OLD,
        START_NEW,
        END,
        FOLLOW,
        ELECT,
        WRITE,
        ACTIVATE,
        DEACTIVATE,
        FINALIZE,
        SEND_AGAIN
    }

    /** An event of a random history, at one controller. */
    record Event(Kind kind, int controller) {}

    /** Number of activations, over all tries. */
    private static int activations;

    private record Sent(UpgradeCluster.Controller by, Transaction transaction) {}

    @Provide
    Arbitrary<List<Event>> events() {
        Arbitrary<Kind> kinds = Arbitraries.frequency(
                Tuple.of(1, Kind.START_OLD),
                Tuple.of(3, Kind.START_NEW),
                Tuple.of(1, Kind.END),
                Tuple.of(8, Kind.FOLLOW),
                Tuple.of(3, Kind.ELECT),
                Tuple.of(4, Kind.WRITE),
                Tuple.of(6, Kind.ACTIVATE),
                Tuple.of(2, Kind.DEACTIVATE),
                Tuple.of(1, Kind.FINALIZE),
                Tuple.of(1, Kind.SEND_AGAIN));
        return Combinators.combine(kinds, Arbitraries.integers().between(0, CONTROLLERS - 1))
                .as(Event::new)
                .list()
                .ofMinSize(20)
                .ofMaxSize(120);
    }

    @Property(tries = 2500, seed = "1602")
    void noControllerWritesInAVersionThatItDoesNotSupport(@ForAll("events") List<Event> events) {
        UpgradeCluster cluster = new UpgradeCluster();
        Map<Integer, UpgradeCluster.Controller> controllers = new HashMap<>();
        List<Sent> sent = new ArrayList<>();
        long now = 0;
        int jobs = 0;
        for (Event event : events) {
            now += 2 * UpgradeCluster.SETTLE_MS;
            UpgradeCluster.Controller controller = controllers.get(event.controller());
            switch (event.kind()) {
                case START_OLD -> controllers.put(event.controller(), cluster.start("n" + event.controller(), OLD));
                case START_NEW -> controllers.put(event.controller(), cluster.start("n" + event.controller(), NEW));
                case END -> cluster.end("n" + event.controller());
                default -> {
                    if (controller != null) {
                        act(cluster, controller, event.kind(), now, "wk-" + jobs++, sent);
                    }
                }
            }
        }
    }

    private static void act(
            UpgradeCluster cluster,
            UpgradeCluster.Controller controller,
            Kind kind,
            long now,
            String job,
            List<Sent> sent) {
        switch (kind) {
            case FOLLOW -> {
                cluster.follow(controller);
                if (controller.replica.isLoaded()) {
                    controller.upgrades.observe(now);
                }
            }
            case ELECT -> cluster.elect(controller);
            case SEND_AGAIN -> List.copyOf(sent).forEach(s -> commit(cluster, s));
            case WRITE -> {
                if (controller.replica.isLoaded()) {
                    JobRecord record = new JobRecord(TestJob.named(job).build(), JobState.LIVE, 0);
                    send(cluster, controller, new Transaction().put(Keys.job(job), Records.job(record)), sent);
                }
            }
            default -> {
                boolean leads = controller.replica.isLoaded()
                        && controller.replica.leader() != null
                        && controller.replica.leader().node().equals(controller.name);
                if (leads
                        && controller.upgrades.decide(now, UpgradeStep.valueOf(kind.name()))
                                instanceof UpgradeDecision.Commit commit) {
                    send(cluster, controller, commit.transaction(), sent);
                }
            }
        }
    }

    private static void send(
            UpgradeCluster cluster, UpgradeCluster.Controller by, Transaction transaction, List<Sent> sent) {
        Sent message = new Sent(by, by.replica.guardVersion(transaction));
        sent.add(message);
        commit(cluster, message);
    }

    private static void commit(UpgradeCluster cluster, Sent message) {
        ClusterVersion before = cluster.version();
        int status = cluster.state.commit(message.transaction());
        ClusterVersion after = cluster.version();
        if (status == 200) {
            assertTrue(
                    message.by().supported.contains(before.active()),
                    () -> message.by().name + " wrote while " + before + " was active");
        }
        activations += after.active() > before.active() ? 1 : 0;
        assertTrue(after.floor() >= before.floor(), () -> before + " became " + after);
        assertTrue(after.active() >= after.floor(), () -> "below its floor: " + after);
    }

    @AfterContainer
    static void activationsAreCovered() {
        assertTrue(activations > 100, "only " + activations + " activations");
    }

    @Property(tries = 200, seed = "2024")
    void versionRoundTrip(@ForAll("versions") ClusterVersion version) {
        UpgradeCluster cluster = new UpgradeCluster();
        cluster.state.commit(new Transaction().put(Keys.VERSION, Records.version(version)));
        assertEquals(version, cluster.version());
    }

    @Provide
    Arbitrary<ClusterVersion> versions() {
        return Arbitraries.integers().between(1, 1000).flatMap(active -> Arbitraries.integers()
                .between(1, active)
                .map(floor -> new ClusterVersion(active, floor)));
    }
}
