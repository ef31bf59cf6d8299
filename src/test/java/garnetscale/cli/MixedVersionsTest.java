package garnetscale.cli;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import garnetscale.config.Settings;
import garnetscale.controller.ControllerNode;
import garnetscale.core.Features;
import garnetscale.core.balance.BalanceSettings;
import garnetscale.core.upgrade.UpgradeStep;
import garnetscale.core.upgrade.VersionRange;
import garnetscale.emulator.EmulatedServices;
import garnetscale.net.HttpClient;
import garnetscale.net.HttpResult;
import garnetscale.peer.PeerMessage;
import garnetscale.peer.PeerMessage.OperatorResponse.Outcome;
import garnetscale.wire.Cbor;
import garnetscale.wire.Trees;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Operators upgrade the cluster, roll it back and upgrade it again, while users submit jobs and jobs run. Two complete
 * controllers run over loopback sockets; one of them is restarted with other ranges of supported versions.
 */
class MixedVersionsTest {

    private static final int TIMEOUT_MS = 5000;
    private static final int WORKER_LEASE_MS = 3000;
    private static final VersionRange OLD = VersionRange.FIRST;
    private static final VersionRange NEW = Features.NONE.layouts();

    @TempDir
    Path dir;

    private final EventLoopGroup loop = new NioEventLoopGroup(1);
    private final HttpClient http = new HttpClient(loop, 2, 500);
    private final String[] listenAddresses = new String[2];
    private final String[] peerAddresses = new String[2];
    private final ControllerNode[] nodes = new ControllerNode[2];
    private final List<String> jobs = new ArrayList<>();
    private String stateAddress;
    private String cloudAddress;

    private void startEmulatedServices() throws IOException {
        for (int i = 0; i < 2; i++) {
            listenAddresses[i] = LoopbackDemo.freePort();
            peerAddresses[i] = LoopbackDemo.freePort();
        }
        EmulatedServices services =
                new EmulatedServices(loop, Map.of("node-0", listenAddresses[0], "node-1", listenAddresses[1]), 300);
        stateAddress = services.startState("127.0.0.1:0");
        cloudAddress = services.startCloud("127.0.0.1:0");
        services.startWorker("m-000001", WORKER_LEASE_MS);
        services.startWorker("m-000002", WORKER_LEASE_MS);
    }

    /** Starts a controller that supports the given versions; stops its previous instance first, if there is one. */
    private void start(int node, VersionRange layouts) throws Exception {
        if (nodes[node] != null) {
            nodes[node].stop().awaitUninterruptibly();
        }
        Path file = dir.resolve("node-" + node + ".toml");
        Files.writeString(
                file, LoopbackDemo.settings(node, listenAddresses, peerAddresses, stateAddress, cloudAddress));
        nodes[node] = new ControllerNode(
                Settings.read(file, new Features(false, 0.5, layouts, Features.NEVER, BalanceSettings.OFF)));
        nodes[node].start();
    }

    @AfterEach
    void stop() {
        for (ControllerNode node : nodes) {
            if (node != null) {
                node.stop();
            }
        }
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    // ---- operators

    private PeerMessage.OperatorResponse send(int node, PeerMessage.OperatorRequest.Kind kind, String argument) {
        try {
            return new OperatorClient(peerAddresses[node], TIMEOUT_MS)
                    .send(new PeerMessage.OperatorRequest(kind, argument));
        } catch (IOException e) {
            return new PeerMessage.OperatorResponse(Outcome.REFUSED, "{}");
        }
    }

    private Map<?, ?> status(int node) {
        return tree(send(node, PeerMessage.OperatorRequest.Kind.STATUS, ""));
    }

    private static Map<?, ?> tree(PeerMessage.OperatorResponse answer) {
        try (JsonParser parser = new JsonFactory().createParser(answer.json())) {
            return (Map<?, ?>) Trees.read(parser);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Requests a controller's status until it meets the condition; the test's time limit bounds the wait. */
    private void await(int node, Predicate<Map<?, ?>> condition) {
        Map<?, ?> status = status(node);
        while (!condition.test(status)) {
            status = status(node);
        }
    }

    /** Requests a step from both controllers in turn until the leader answers that the step is done. */
    private void awaitDone(UpgradeStep step) {
        await(step, answer -> answer.outcome() == Outcome.DONE);
    }

    private void await(UpgradeStep step, Predicate<PeerMessage.OperatorResponse> condition) {
        for (int i = 0; ; i = 1 - i) {
            if (condition.test(send(i, PeerMessage.OperatorRequest.Kind.UPGRADE, step.name()))) {
                return;
            }
        }
    }

    private static boolean isComplete(Map<?, ?> status) {
        return Boolean.TRUE.equals(status.get("complete"));
    }

    private static Object active(Map<?, ?> status) {
        return status.get("version") instanceof Map<?, ?> version ? version.get("active") : null;
    }

    // ---- users

    private HttpResult call(int node, HttpMethod method, String path, byte[] body) {
        CompletableFuture<HttpResult> result = new CompletableFuture<>();
        loop.next().execute(() -> http.call(listenAddresses[node], method, path, body, TIMEOUT_MS, result::complete));
        return result.join();
    }

    /** Submits a job to both controllers in turn until one accepts it. */
    private void submit() {
        String id = String.format("wk-%06d", jobs.size() + 1);
        jobs.add(id);
        byte[] body = Cbor.write(LoopbackDemo.job(id, 3, 0.3));
        HttpResult result = call(0, HttpMethod.POST, "/v2/runs", body);
        for (int i = 1; !result.is(201) && !result.is(200); i = 1 - i) {
            result = call(i, HttpMethod.POST, "/v2/runs", body);
        }
    }

    private void awaitJobs() throws IOException {
        for (String id : jobs) {
            Object jobState = null;
            for (int i = 0; !"done".equals(jobState); i = 1 - i) {
                HttpResult result = call(i, HttpMethod.GET, "/v2/runs/" + id, null);
                assertTrue(!result.is(404), id + " is unknown after it was accepted");
                jobState = result.is(200) ? Cbor.readMap(result.body()).get("mood") : jobState;
            }
        }
    }

    @Test
    @Timeout(120)
    void upgradesRollsBackAndUpgradesAgain() throws Exception {
        startEmulatedServices();
        start(0, NEW);
        start(1, OLD);
        submit();
        await(UpgradeStep.ACTIVATE, answer -> answer.json().contains("controller node-1 supports 1 to 1 and not 2"));
        start(1, NEW);
        submit();
        awaitDone(UpgradeStep.ACTIVATE);
        await(0, status -> Integer.valueOf(2).equals(active(status)));

        // Only node-1 returns to the old version: it stops serving and reports why, while node-0 serves.
        start(1, OLD);
        await(1, status -> status.containsKey("unreadable"));
        assertFalse(
                call(1, HttpMethod.GET, "/ready", null).is(200),
                "a controller that can't read the active version accepts users' requests");
        submit();
        awaitJobs();
        awaitDone(UpgradeStep.DEACTIVATE);
        await(1, status -> isComplete(status) && Integer.valueOf(1).equals(active(status)));
        submit();
        awaitJobs();

        start(1, NEW);
        awaitDone(UpgradeStep.ACTIVATE);
        awaitDone(UpgradeStep.FINALIZE);
        await(UpgradeStep.DEACTIVATE, answer -> answer.json().contains("version 2 is finalized"));
        submit();
        awaitJobs();
        await(1, status -> isComplete(status) && Integer.valueOf(2).equals(active(status)));
    }
}
