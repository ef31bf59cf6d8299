import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import garnetscale.wire.Cbor;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback: controllers as separate processes, started with the command of the deploy file, and stand-ins for
 * the state service, the cloud, the workers and users. The stand-ins follow PROTOCOL; each case sets what they do wrong or late.
 */
public final class World {
    /** A controller: its addresses, its own address of the state service, and its process. */
    public static final class Node {
        public final int index;
        public final String name;
        public final String zone;
        public final int listenPort;
        public final int backPort;
        /** The address at which other controllers reach this one; a case may put a proxy there. */
        public int seenBackPort;
        public int statePort;
        public volatile Process process;

        Node(int index, String zone) throws IOException {
            this.index = index;
            this.name = "node-" + index;
            this.zone = zone;
            this.listenPort = freePort();
            this.backPort = freePort();
            this.seenBackPort = backPort;
        }

        public String url() {
            return "http://127.0.0.1:" + listenPort;
        }
    }

    /** An answer of a controller to a user; status 0 means none. */
    public record Answer(int status, Map<?, ?> body) {
        public Object mood() {
            return body == null ? null : body.get("mood");
        }
    }

    /** A machine type of the cloud. */
    public record MachineType(String name, double cpus, double ramGb, double bootS) {}

    /** What a worker needs to know of a job; users upload it. */
    public record JobInfo(double cpus, String image, double imageGb, double runS, boolean saves, double stashS, boolean fails) {}

    public double reportS = 3;
    public double leaseS = 22;
    public double cancelS = 47;
    public double listLagS = 3;
    public String teams = team("imaging", 336, 568) + team("cataloguers", 336, 992);
    public String objectives = "";
    /** The cloud's machine types: name, CPUs, memory in GB, boot time in seconds. */
    public List<MachineType> types = List.of(new MachineType("cinar-32", 32, 128, 40));

    public final List<String> zones;
    public final List<Node> nodes = new ArrayList<>();
    public final List<Worker> workers = new CopyOnWriteArrayList<>();
    public final Map<String, JobInfo> jobs = new ConcurrentHashMap<>();
    public final StateStore state;
    public final CloudStandIn cloud;
    public final ExecutorService pool = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    public final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(500))
            .executor(pool)
            .build();
    public final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final long startedAt = System.nanoTime();
    private final PrintWriter record;
    private final Path dir;
    private final Path logs;
    private final List<String> runCommand;

    public World(int folder, String... zones) throws IOException {
        this.zones = List.of(zones);
        dir = Files.createTempDirectory("review");
        logs = System.getenv("KEEP_LOGS") == null ? dir : Path.of(System.getenv("KEEP_LOGS"));
        record = new PrintWriter(Files.newBufferedWriter(Path.of("review", String.valueOf(folder), "record.txt")), true);
        runCommand = deployCommand();
        Runtime.getRuntime().addShutdownHook(new Thread(this::stopAll));
        state = new StateStore(this);
        cloud = new CloudStandIn(this);
        for (int i = 0; i < zones.length; i++) {
            Node node = new Node(i, zones[i]);
            node.statePort = listen(exchange -> state.handle(node, exchange));
            nodes.add(node);
        }
    }

    private static List<String> deployCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy", "service.toml"))) {
            if (line.startsWith("run = ")) {
                return Arrays.asList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("no run command in deploy/service.toml");
    }

    public static String team(String name, double cpus, double cpusMax) {
        return "[[facts.teams]]\nname = \"" + name + "\"\ncpus = " + cpus + "\ncpus_max = " + cpusMax
                + "\ngpus = 0.0\ngpus_max = 0.0\n";
    }

    public static String waitObjective(String jobClass, double withinS) {
        return "[[facts.objectives]]\nkind = \"wait\"\nclass = \"" + jobClass + "\"\nwithin_s = " + withinS
                + "\nshare = 0.9\n";
    }

    public static int freePort() throws IOException {
        for (int i = 0; i < 100; i++) {
            int port = 12_000 + (int) (Math.random() * 18_000);
            try (ServerSocket socket = new ServerSocket()) {
                socket.setReuseAddress(true);
                socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
                return port;
            } catch (IOException e) {
                // In use; the next one may be free.
            }
        }
        throw new IOException("no free port");
    }

    /** An HTTP handler that may take long: each request has a thread of its own. */
    public interface Handler {
        void handle(HttpExchange exchange) throws Exception;
    }

    /** Listens on a free loopback port. */
    public int listen(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", freePort()), 200);
        server.setExecutor(pool);
        server.createContext("/", exchange -> {
            try {
                handler.handle(exchange);
            } catch (Exception e) {
                if (!(e instanceof IOException)) {
                    log("stand-in failed: " + exchange.getRequestURI() + " " + e);
                }
                exchange.close();
            }
        });
        server.start();
        return server.getAddress().getPort();
    }

    public static void reply(HttpExchange exchange, int status, Object body) throws IOException {
        byte[] bytes = body == null ? new byte[0] : Cbor.write(body);
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            try (OutputStream out = exchange.getResponseBody()) {
                out.write(bytes);
            }
        }
        exchange.close();
    }

    // ---- the record

    public double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    public synchronized void log(String line) {
        record.printf("%8.3f %s%n", seconds(), line);
    }

    public void sleepUntil(double second) throws InterruptedException {
        long ms = (long) ((second - seconds()) * 1000);
        if (ms > 0) {
            Thread.sleep(ms);
        }
    }

    // ---- controllers

    public void start(Node node) throws IOException {
        Path file = dir.resolve(node.name + ".toml");
        StringBuilder text = new StringBuilder();
        text.append("node_name = \"").append(node.name).append("\"\nsite = \"").append(node.zone).append('"');
        text.append("\nlisten = \"127.0.0.1:").append(node.listenPort).append('"');
        text.append("\nback = \"127.0.0.1:").append(node.backPort).append("\"\n");
        for (Node other : nodes) {
            if (other != node) {
                text.append("[[members]]\nnode_name = \"").append(other.name).append("\"\nsite = \"").append(other.zone);
                text.append("\"\nendpoint = \"127.0.0.1:").append(other.seenBackPort).append("\"\n");
            }
        }
        text.append("[endpoints]\ncloud = \"127.0.0.1:").append(cloud.port);
        text.append("\"\nstate = \"127.0.0.1:").append(node.statePort).append("\"\n");
        text.append("[facts]\ncount = ").append(nodes.size()).append("\nzones = [");
        text.append(String.join(", ", zones.stream().distinct().map(zone -> '"' + zone + '"').toList()));
        text.append("]\ntime_bound_ms = 25.0\n").append(teams).append(objectives);
        text.append("[facts.workers]\nreport_s = ").append(reportS).append("\nlease_s = ").append(leaseS);
        text.append("\ngang_wait_s = 50.0\ngang_peer_s = 5.0\ncancel_s = ").append(cancelS);
        text.append("\n[facts.state]\nrps = 100.0\nwrite_rps = 40.0\nvalue_kb = 16.0\ntxn_ops = 32\n");
        text.append("[facts.cloud]\nrps = 6.0\nlist_lag_s = ").append(listLagS);
        text.append("\n[facts.machine_limits]\ncpu = 0.34\nram_mb = 320.0\nmax_connections = 2500\n");
        Files.writeString(file, text);
        List<String> command = new ArrayList<>(runCommand);
        command.add(file.toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logs.resolve(node.name + ".log").toFile()));
        node.process = builder.start();
        log("started " + node.name + " zone=" + node.zone);
    }

    public void kill(Node node) throws InterruptedException {
        node.process.destroyForcibly().waitFor();
        log("killed " + node.name);
    }

    /** Sends a signal to a controller, such as STOP or CONT. */
    public void signal(Node node, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(node.process.pid())).start().waitFor();
        log("sent " + name + " to " + node.name);
    }

    /** Waits until all nodes answer /ready with 200. */
    public boolean awaitReady(double untilS) throws InterruptedException {
        while (seconds() < untilS) {
            if (nodes.stream().allMatch(node -> get(node, "/ready", 1000).status() == 200)) {
                log("all controllers are ready");
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }

    public void stopAll() {
        for (Node node : nodes) {
            if (node.process != null) {
                node.process.destroyForcibly();
            }
        }
        try (var files = Files.list(dir)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // Nothing is left to delete.
        }
        dir.toFile().delete();
    }

    // ---- users

    public Answer get(Node node, String path, int timeoutMs) {
        return send(HttpRequest.newBuilder(URI.create(node.url() + path)).GET(), timeoutMs);
    }

    public Answer post(Node node, String path, Object body, int timeoutMs) {
        byte[] bytes = body == null ? new byte[0] : Cbor.write(body);
        return send(
                HttpRequest.newBuilder(URI.create(node.url() + path)).POST(HttpRequest.BodyPublishers.ofByteArray(bytes)),
                timeoutMs);
    }

    private Answer send(HttpRequest.Builder request, int timeoutMs) {
        try {
            HttpResponse<byte[]> response = http.sendAsync(
                            request.timeout(Duration.ofMillis(timeoutMs)).build(), HttpResponse.BodyHandlers.ofByteArray())
                    .get(timeoutMs + 500, TimeUnit.MILLISECONDS);
            byte[] body = response.body();
            return new Answer(response.statusCode(), body.length == 0 ? null : Cbor.readMap(body));
        } catch (Exception e) {
            return new Answer(0, null);
        }
    }

    /** A job's submission by a user; the caller may change fields before it is sent. */
    public static Map<String, Object> job(
            String id, String jobClass, String team, String rank, int tasks, double cpus, String zone, double guessS) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("id", id);
        body.put("herd", jobClass);
        body.put("crew", team);
        body.put("shape", "array");
        body.put("rank", rank);
        body.put("chores", tasks);
        body.put("cpus", cpus);
        body.put("gpus", 0.0);
        body.put("ram_gb", 8.0);
        body.put("seed", "img-1");
        body.put("image_gb", 0.8);
        body.put("breeds", null);
        body.put("field", zone);
        body.put("same_place", false);
        body.put("apart", false);
        body.put("windfall", true);
        body.put("guess_s", guessS);
        body.put("pin_s", 0.0);
        body.put("stash_s", 0.0);
        body.put("due_s", null);
        return body;
    }

    /** Submits a job as a user does: repeats it after a second, at the next node, for up to a minute. */
    public Answer submit(Map<String, Object> job, double runS) throws InterruptedException {
        return submit(job, runS, false);
    }

    /** Submits a job; with {@code fails} it was submitted with a mistake and fails on every machine. */
    public Answer submit(Map<String, Object> job, double runS, boolean fails) throws InterruptedException {
        jobs.put(
                (String) job.get("id"),
                new JobInfo(
                        (Double) job.get("cpus"),
                        (String) job.get("seed"),
                        (Double) job.get("image_gb"),
                        runS,
                        (Double) job.get("pin_s") > 0,
                        (Double) job.get("stash_s"),
                        fails));
        double untilS = seconds() + 60;
        Answer answer = new Answer(0, null);
        for (int i = 0; seconds() < untilS; i++) {
            Node node = nodes.get(i % nodes.size());
            answer = post(node, "/v2/runs", job, 5000);
            log("submit " + job.get("id") + " to " + node.name + ": " + answer);
            if (answer.status() == 200 || answer.status() == 201 || answer.status() == 400 || answer.status() == 422) {
                return answer;
            }
            Thread.sleep(1000);
        }
        return answer;
    }

    // ---- machines

    /** Starts a machine with its worker; it is in the cloud's list from now on, less the lag. */
    public Worker startWorker(String id, String zone) throws IOException {
        return startWorker(id, zone, types.get(0));
    }

    /** Starts a machine of a type. */
    public Worker startWorker(String id, String zone, MachineType type) throws IOException {
        return startWorker(id, zone, type, false);
    }

    /** Starts an ordinary or a spot machine of a type. */
    public Worker startWorker(String id, String zone, MachineType type, boolean spot) throws IOException {
        Worker worker = new Worker(this, id, zone, type, spot);
        workers.add(worker);
        return worker;
    }

    /**
     * Ends the test: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. The process ends with this code plus 10, by
     * which run.sh tells a result from a failure of the program itself.
     */
    public void end(int code, String why) {
        log("result " + code + ": " + why);
        System.out.println("result " + code + ": " + why);
        stopAll();
        Runtime.getRuntime().halt(10 + code);
    }
}
