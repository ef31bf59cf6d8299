package garnetscale.cli;

import garnetscale.config.FeaturesFile;
import garnetscale.config.Settings;
import garnetscale.controller.ControllerNode;
import garnetscale.core.Features;
import garnetscale.emulator.EmulatedServices;
import garnetscale.net.HttpClient;
import garnetscale.net.HttpResult;
import garnetscale.peer.PeerMessage;
import garnetscale.wire.Cbor;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.BindException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs two controllers against emulated services on loopback until one job is done and another is cancelled. The build runs it
 * to record the classes that a serving process loads, because on a small share of a core, loading classes takes most of the
 * time of a restart.
 */
@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        description = "Run two controllers against stand-ins on loopback until a job is done.")
final class LoopbackDemo implements Callable<Integer> {

    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 30_000;
    private static final int MAX_PORT_ATTEMPTS = 50;
    private static final int OPERATOR_TIMEOUT_MS = 5000;

    private static final String SETTINGS_TEMPLATE =
            """
            node_name = "node-%d"
            site = "a"
            listen = "%s"
            back = "%s"
            [[members]]
            node_name = "node-%d"
            site = "a"
            endpoint = "%s"
            [endpoints]
            cloud = "%s"
            state = "%s"
            [facts]
            count = 2
            zones = ["a"]
            time_bound_ms = 25.0
            [[facts.teams]]
            name = "us"
            cpus = 4.0
            cpus_max = 8.0
            gpus = 0.0
            gpus_max = 0.0
            [[facts.objectives]]
            kind = "wait"
            class = "try"
            within_s = 1.0
            share = 0.9
            [[facts.objectives]]
            kind = "finished"
            class = "try"
            within_s = 60.0
            share = 0.9
            [[facts.objectives]]
            kind = "deadline"
            class = "try"
            share = 0.9
            times = 1.0
            [[facts.objectives]]
            kind = "guarantee"
            within_s = 5.0
            share = 0.9
            [facts.workers]
            report_s = 0.3
            lease_s = 3.0
            cancel_s = 9.0
            [facts.state]
            rps = 400.0
            write_rps = 200.0
            value_kb = 16.0
            txn_ops = 24
            [facts.cloud]
            rps = 10.0
            list_lag_s = 1.0
            [facts.machine_limits]
            cpu = 1.0
            ram_mb = 256.0
            max_connections = 500
            """;

    // The help text shows the field's name as the label of the option's value.
    @Option(names = "--seconds", defaultValue = "20", description = "Give up after so long (default ${DEFAULT-VALUE}).")
    int seconds;

    @Option(
            names = "--features",
            paramLabel = "FILE",
            description = "What is switched on, in FILE (TOML); without it nothing is.")
    Path features;

    private final List<ControllerNode> nodes = new ArrayList<>();
    private EventLoopGroup loop;
    private HttpClient http;

    @Override
    public Integer call() throws Exception {
        Features enabledFeatures = features == null ? Features.NONE : FeaturesFile.read(features);
        loop = new NioEventLoopGroup(1);
        http = new HttpClient(loop, 2, 500);
        Path dir = Files.createTempDirectory("garnetscale");
        try {
            String[] listenAddresses = {freePort(), freePort()};
            String[] peerAddresses = {freePort(), freePort()};
            EmulatedServices services =
                    new EmulatedServices(loop, Map.of("node-0", listenAddresses[0], "node-1", listenAddresses[1]), 300);
            String stateAddress = services.startState("127.0.0.1:0");
            String cloudAddress = services.startCloud("127.0.0.1:0");
            services.startWorker("m-000001", 3000);
            services.startWorker("m-000002", 3000);
            for (int index = 0; index < 2; index++) {
                Path file = dir.resolve("node-" + index + ".toml");
                Files.writeString(file, settings(index, listenAddresses, peerAddresses, stateAddress, cloudAddress));
                ControllerNode node = new ControllerNode(Settings.read(file, enabledFeatures));
                nodes.add(node);
                node.start();
            }
            return runJobs(listenAddresses) && answersOperator(peerAddresses[0]) ? 0 : 1;
        } finally {
            // Stops the controllers first: while they run, they would log that the emulated services no longer answer.
            nodes.forEach(node -> node.stop().awaitUninterruptibly());
            loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            try (var files = Files.list(dir)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(dir);
        }
    }

    /** Returns whether a controller answers an operator's status request, and its answer names a leader. */
    private static boolean answersOperator(String peerAddress) throws IOException {
        PeerMessage.OperatorResponse answer = new OperatorClient(peerAddress, OPERATOR_TIMEOUT_MS)
                .send(new PeerMessage.OperatorRequest(PeerMessage.OperatorRequest.Kind.STATUS, ""));
        return answer.outcome() == PeerMessage.OperatorResponse.Outcome.DONE
                && answer.json().contains("\"leader\":\"node-");
    }

    /**
     * Finds a free port outside the system's ephemeral port range. The system could assign a port in that range to an emulated
     * service or to a controller's connection before the controller listens on it; a build has failed for this reason.
     *
     * @return the loopback address with the port
     * @throws IOException if every attempted port is in use
     */
    static String freePort() throws IOException {
        for (int index = 0; index < MAX_PORT_ATTEMPTS; index++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket free = new ServerSocket(port)) {
                return "127.0.0.1:" + free.getLocalPort();
            } catch (BindException e) {
                // In use by another process; the next port may be free.
            }
        }
        throw new IOException("no free port between " + FIRST_PORT + " and " + LAST_PORT);
    }

    /** Returns the content of the settings file of one of the two controllers. */
    static String settings(
            int index, String[] listenAddresses, String[] peerAddresses, String stateAddress, String cloudAddress) {
        return SETTINGS_TEMPLATE.formatted(
                index,
                listenAddresses[index],
                peerAddresses[index],
                1 - index,
                peerAddresses[1 - index],
                cloudAddress,
                stateAddress);
    }

    /** Submits two jobs and cancels the second. Returns whether the first is done and the second cancelled in time. */
    private boolean runJobs(String[] addresses)
            throws InterruptedException, ExecutionException, TimeoutException, IOException {
        long deadlineNs = System.nanoTime() + seconds * 1_000_000_000L;
        boolean accepted = false;
        boolean cancelled = false;
        while (System.nanoTime() < deadlineNs) {
            if (!accepted) {
                accepted = accepted(post(addresses[0], "/v2/runs", Cbor.write(job("wk-000001", 3, 0.5))))
                        && accepted(post(addresses[1], "/v2/runs", Cbor.write(job("wk-000002", 9, 60))));
            } else {
                call(addresses[0], HttpMethod.GET, "/ready", null);
                cancelled = cancelled
                        || post(addresses[0], "/v2/runs/wk-000002/cancel", null).status() == 200;
                HttpResult result = call(addresses[1], HttpMethod.GET, "/v2/runs/wk-000001", null);
                if (result.status() == 200
                        && "done".equals(Cbor.readMap(result.body()).get("mood"))
                        && cancelled) {
                    System.out.println("rehearsal: a job is done, another is cancelled");
                    return true;
                }
            }
            TimeUnit.MILLISECONDS.sleep(200);
        }
        System.err.println("rehearsal: not done after " + seconds + " s");
        return false;
    }

    /** Returns whether a job is accepted: 201 for a new job, 200 for a repeated submission of an accepted job. */
    private static boolean accepted(HttpResult result) {
        return result.status() == 201 || result.status() == 200;
    }

    private HttpResult post(String address, String path, byte[] body)
            throws InterruptedException, ExecutionException, TimeoutException {
        return call(address, HttpMethod.POST, path, body);
    }

    private HttpResult call(String address, HttpMethod method, String path, byte[] body)
            throws InterruptedException, ExecutionException, TimeoutException {
        CompletableFuture<HttpResult> result = new CompletableFuture<>();
        loop.next().execute(() -> http.call(address, method, path, body, 2000, result::complete));
        return result.get(5, TimeUnit.SECONDS);
    }

    /**
     * Returns the body of a submission, not yet encoded.
     *
     * @param estimateS the user's estimate of a task's run time in seconds, for which emulated workers run the task
     */
    static Map<String, Object> job(String id, int tasks, double estimateS) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("id", id);
        body.put("herd", "try");
        body.put("crew", "us");
        body.put("shape", "array");
        body.put("rank", "high");
        body.put("chores", tasks);
        body.put("cpus", 1.0);
        body.put("gpus", 0.0);
        body.put("ram_gb", 1.0);
        body.put("seed", "image");
        body.put("image_gb", 0.5);
        body.put("breeds", List.of("small-4"));
        body.put("field", null);
        body.put("same_place", false);
        body.put("apart", false);
        body.put("windfall", true);
        body.put("guess_s", estimateS);
        body.put("pin_s", 0.0);
        body.put("stash_s", 0.0);
        body.put("due_s", null);
        return body;
    }
}
