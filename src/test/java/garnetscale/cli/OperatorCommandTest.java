package garnetscale.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.controller.ClusterInspector;
import garnetscale.controller.InspectedLeader;
import garnetscale.core.cluster.LeaderInfo;
import garnetscale.core.job.JobState;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.Transaction;
import garnetscale.core.upgrade.ClusterVersion;
import garnetscale.core.upgrade.VersionRange;
import garnetscale.net.PeerLinks;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** Runs the operators' commands over loopback against a controller's inspector; the test writes the stored state. */
class OperatorCommandTest {

    private static final long LONGER_THAN_ACTIVATION_DELAY_MS = 1_000_000;

    private final InspectedLeader cluster = new InspectedLeader();
    private final EventLoopGroup loop = new NioEventLoopGroup(1);
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();
    private long now;
    private boolean silent;
    private String address;

    @BeforeEach
    void start() {
        ClusterInspector inspector = new ClusterInspector(
                cluster.config,
                cluster.partitions,
                new ClusterInspector.Sources(
                        cluster.replica,
                        cluster.leader,
                        () -> now,
                        () -> new ClusterInspector.ProcessView(true, 0, Map.of()),
                        job -> job.unstartedCount() + " tasks wait for room",
                        (id, found) -> found.accept(
                                true, id.equals("wk-0") ? new Records.TerminalJob(JobState.DONE, 4, 4, "red") : null)));
        ChannelFuture listening = new PeerLinks(
                        loop,
                        message -> {},
                        (request, answer) -> {
                            if (!silent) {
                                inspector.answer(request, answer);
                            }
                        },
                        node -> {},
                        node -> {})
                .listen("127.0.0.1:0")
                .awaitUninterruptibly();
        address = "127.0.0.1:" + ((InetSocketAddress) listening.channel().localAddress()).getPort();
    }

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private int run(String... args) {
        out.getBuffer().setLength(0);
        err.getBuffer().setLength(0);
        return new CommandLine(new Main())
                .setOut(new PrintWriter(out, true))
                .setErr(new PrintWriter(err, true))
                .execute(args);
    }

    @Test
    void statusShowsTheCluster() {
        assertEquals(0, run("status", address));
        for (String line : List.of(
                "node: n0",
                "leader: n0",
                "leader_term: 3",
                "  active: 1",
                "  node n0  zone a  incarnation " + cluster.lease + "  versions 1 to 2",
                "  block a/0  holder n0  term 17",
                "  block a/1  holder none  term 0",
                "  team red  jobs 1  waiting 5  placed 0  cpus 0.0  cpus_guaranteed 8.0  cpus_max 64.0  gpus 0.0  gpus_max none")) {
            assertTrue(out.toString().lines().anyMatch(line::equals), line + " is missing in\n" + out);
        }
        assertEquals(0, run("status", address, "--json"));
        assertTrue(out.toString().startsWith("{\"node\":\"n0\",\"complete\":true,"), out.toString());
    }

    @Test
    void showsLiveAndTerminalJobs() {
        assertEquals(0, run("job", address, "wk-1"));
        assertTrue(out.toString().contains("why: 5 tasks wait for room"), out.toString());
        assertEquals(0, run("job", address, "wk-0"));
        assertTrue(out.toString().contains("state: DONE"), out.toString());
        assertEquals(1, run("job", address, "wk-2"));
        assertEquals("garnetscale: refused: no job wk-2\n", err.toString());
    }

    @Test
    void onlyTheLeaderCarriesOutUpgradeSteps() {
        cluster.leader.plan(now);
        assertEquals(1, run("upgrade", "activate", address));
        assertTrue(
                err.toString().startsWith("garnetscale: refused: controller n0 has been there for "), err.toString());
        now += LONGER_THAN_ACTIVATION_DELAY_MS;
        assertEquals(1, run("upgrade", "activate", address, "--timeout", "0"));
        assertEquals("garnetscale: not carried out yet; ask again\n", err.toString());
        cluster.commit(cluster.leader.plan(now));
        assertEquals(new ClusterVersion(2, 1), cluster.replica.version());
        assertEquals(0, run("upgrade", "activate", address));
        assertTrue(out.toString().contains("active: 2"), out.toString());
        cluster.commit(new Transaction()
                .put(Keys.LEADER, Records.leader(new LeaderInfo("n1", cluster.lease, 4)), cluster.lease));
        assertEquals(1, run("upgrade", "finalize", address));
        assertEquals(
                "garnetscale: refused: this controller isn't the leader; n1 is, at 10.0.0.2:8081\n", err.toString());
        assertEquals(new ClusterVersion(2, 1), cluster.replica.version());
    }

    @Test
    void controllerReportsUnsupportedActiveVersion() {
        cluster.commit(new Transaction().put(Keys.VERSION, Records.version(new ClusterVersion(9, 1))));
        assertEquals(0, run("upgrade", "status", address));
        assertTrue(out.toString().contains("version 9, and this controller supports " + new VersionRange(1, 2)));
        assertEquals(1, run("upgrade", "finalize", address));
        assertEquals(1, run("job", address, "wk-1"));
    }

    @Test
    void unreachableControllersAndInvalidAddressesPrintOneLine() {
        silent = true;
        assertEquals(1, run("status", address, "--timeout", "1"));
        assertEquals(1, err.toString().lines().count());
        stop();
        assertEquals(1, run("status", address, "--timeout", "1"));
        assertTrue(err.toString().startsWith("garnetscale: " + address + " doesn't answer: "), err.toString());
        assertEquals(1, run("status", "nowhere"));
        assertEquals("garnetscale: nowhere doesn't answer: not an address like 10.0.0.1:8081\n", err.toString());
        assertFalse(run("upgrade") == 0);
    }
}
