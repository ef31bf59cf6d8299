import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment: controllers as real processes, and stand-ins for the state service, the cloud, workers and users. */
final class Cluster {
    /** A machine type of the cloud. */
    record Type(String name, double cpus, double ramGb, double fetchGbPerS, List<String> zones) {}

    private static final long START = System.nanoTime();
    final Path dir;
    final State state = new State();
    final List<Type> types = new ArrayList<>();
    final Map<String, Worker> workers = new ConcurrentHashMap<>();
    /** What users uploaded, by job; the tasks' run time in seconds stands under "run_s". */
    final Map<String, Map<String, Object>> jobs = new ConcurrentHashMap<>();
    final Map<String, Process> processes = new ConcurrentHashMap<>();
    final Map<String, String> listen = new LinkedHashMap<>();
    final Map<String, String> back = new LinkedHashMap<>();
    final Map<String, String> zones = new LinkedHashMap<>();
    final double reportS = 1;
    final double leaseS = 10;
    private static final double CANCEL_S = 35;
    private static final String OBJECTIVES = objective("deadline", "nyxta-match", "share = 0.78\ntimes = 1.0")
            + objective("deadline", "nyxta-match", "share = 0.85\ntimes = 1.5")
            + objective("wait", "aerodromio-check", "within_s = 30.0\nshare = 0.93")
            + objective("wait", "aerodromio-check", "within_s = 60.0\nshare = 0.93")
            + objective("finished", "aerodromio-check", "within_s = 100.0\nshare = 0.93");

    /** The machines that each task is on. */
    final Map<String, List<String>> running = new ConcurrentHashMap<>();
    /** How often each task was started. */
    final Map<String, Integer> starts = new ConcurrentHashMap<>();
    final Map<String, Proxy> stateLinks = new LinkedHashMap<>();
    /** The links between controllers, by the names of both ends: the one that opens the connection first. */
    final Map<String, Proxy> links = new LinkedHashMap<>();
    private final Map<String, Path> settings = new LinkedHashMap<>();
    private final BufferedWriter record;
    private final String run;
    private String cloud;

    Cluster(String recordFile) throws IOException {
        record = Files.newBufferedWriter(Path.of(recordFile));
        dir = Files.createTempDirectory("review");
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/service.toml")));
        if (!matcher.find()) {
            throw new IOException("no run in deploy/service.toml");
        }
        run = matcher.group(1);
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
    }

    private static String objective(String kind, String herd, String rest) {
        return "[[facts.objectives]]\nkind = \"" + kind + "\"\nclass = \"" + herd + "\"\n" + rest + "\n";
    }

    /** Returns whether the disruption is to be made; TROUBLE=0 leaves it out. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static long ms() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    /** Writes a line with the time to the record and to standard output. */
    synchronized void note(String line) {
        String text = String.format("%7.2f %s", ms() / 1000.0, line);
        try {
            record.write(text + "\n");
            record.flush();
        } catch (IOException e) {
            System.err.println(e);
        }
        System.out.println(text);
    }

    // ---- controllers

    /** Writes the settings of controllers; each is named with its zone. Addresses of the others may go through a proxy. */
    void controllers(String... namesAndZones) throws IOException {
        cloud = Http.serve(this::cloud);
        for (int i = 0; i < namesAndZones.length; i += 2) {
            listen.put(namesAndZones[i], "127.0.0.1:" + Http.freePort());
            back.put(namesAndZones[i], "127.0.0.1:" + Http.freePort());
            zones.put(namesAndZones[i], namesAndZones[i + 1]);
        }
        for (String name : listen.keySet()) {
            StringBuilder text = new StringBuilder("node_name = \"" + name + "\"\nsite = \"" + zones.get(name)
                    + "\"\nlisten = \"" + listen.get(name) + "\"\nback = \"" + back.get(name) + "\"\n");
            for (String other : listen.keySet()) {
                if (!other.equals(name)) {
                    Proxy link = new Proxy(back.get(other));
                    links.put(name + " " + other, link);
                    text.append("[[members]]\nnode_name = \"" + other + "\"\nsite = \"" + zones.get(other)
                            + "\"\nendpoint = \"" + link.address + "\"\n");
                }
            }
            text.append("[endpoints]\ncloud = \"" + cloud + "\"\nstate = \""
                    + stateLinks.computeIfAbsent(name, this::stateLink).address + "\"\n[facts]\ncount = " + listen.size() + "\nzones = ["
                    + String.join(", ", zones.values().stream().distinct().map(z -> "\"" + z + "\"").toList())
                    + "]\ntime_bound_ms = 25.0\n" + "[[facts.teams]]\nname = \"backoffice\"\ncpus = 0.0\ncpus_max = 0.0\n"
                    + "gpus = 0.0\ngpus_max = 0.0\n" + OBJECTIVES + "[facts.workers]\nreport_s = " + reportS + "\nlease_s = "
                    + leaseS + "\ngang_wait_s = 40.0\ngang_peer_s = 4.0\ncancel_s = " + CANCEL_S
                    + "\n[facts.state]\nrps = 150.0\nwrite_rps = 60.0\nvalue_kb = 16.0\ntxn_ops = 24\n"
                    + "[facts.cloud]\nrps = 1.5\nlist_lag_s = 10.0\n"
                    + "[facts.machine_limits]\ncpu = 0.136\nram_mb = 148.0\nmax_connections = 600\n");
            Path file = dir.resolve(name + ".toml");
            Files.writeString(file, text);
            settings.put(name, file);
        }
    }

    void start(String name) throws IOException {
        List<String> command = new ArrayList<>(List.of(run.split(" ")));
        command.add(settings.get(name).toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("REVIEW_LOG", "info"));
        Path log = dir.resolve(name + ".log");
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        processes.put(name, builder.start());
        note("started " + name);
    }

    void startAll() throws IOException {
        for (String name : listen.keySet()) {
            start(name);
        }
    }

    /** Kills a controller, without any warning to it. */
    void kill(String name) throws InterruptedException {
        note("killed " + name);
        processes.get(name).destroyForcibly().waitFor();
    }

    private Proxy stateLink(String name) {
        try {
            return new Proxy(state.listen(name));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Cuts a controller off from the state service and the other controllers, or mends these links. */
    void cutFromStateAndPeers(String name, boolean on) {
        note((on ? "cut from the state service: " : "reaches the state service again: ") + name);
        stateLinks.get(name).cut(on);
        cutFromPeers(name, on);
    }

    /** Cuts all links of a controller to the others, or mends them. */
    void cutFromPeers(String name, boolean on) {
        note((on ? "cut from the other controllers: " : "reaches the other controllers again: ") + name);
        links.forEach((ends, link) -> {
            if (List.of(ends.split(" ")).contains(name)) {
                link.cut(on);
            }
        });
    }

    boolean ready(String name) {
        return Http.call(listen.get(name), "GET", "/ready", null, 1000).status() == 200;
    }

    /** Returns the name of the leader, or null if there is none. */
    String leader() {
        return state.get("g/leader") instanceof Map<?, ?> leader ? (String) leader.get("h") : null;
    }

    /** Waits until all controllers are ready; returns whether that came about in time. */
    boolean awaitReady(int seconds) throws InterruptedException {
        long end = ms() + seconds * 1000L;
        while (ms() < end) {
            if (listen.keySet().stream().allMatch(this::ready)) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    private void stop() {
        processes.values().forEach(Process::destroyForcibly);
        try {
            for (Process process : processes.values()) {
                process.waitFor(5, TimeUnit.SECONDS);
            }
            if (System.getenv("REVIEW_KEEP") == null) {
                try (var files = Files.walk(dir)) {
                    for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                        Files.delete(file);
                    }
                }
            }
        } catch (IOException | InterruptedException e) {
            System.err.println(e);
        }
    }

    /** Ends the run with a verdict: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    void end(int status, String why) {
        note((status == 1 ? "BROKEN: " : status == 0 ? "HELD: " : "COULD NOT RUN: ") + why);
        System.exit(status);
    }

    // ---- the cloud: it lists what there is, and has no capacity for more

    private Http.Answer cloud(String method, String path, byte[] body) throws IOException {
        if (path.startsWith("/flavors")) {
            List<Object> rows = new ArrayList<>();
            for (Type type : types) {
                rows.add(Cbor.map("name", type.name(), "cpus", type.cpus(), "gpus", 0.0, "ram_gb", type.ramGb(), "cache_gb",
                        50.0, "fetch_gb_per_s", type.fetchGbPerS(), "rate", 0.55, "market_price", 0.18, "startup_s", 40.0,
                        "fields", type.zones()));
            }
            return Http.Answer.of(200, Cbor.map("breeds", rows));
        }
        if (path.startsWith("/machines/delete")) {
            Object hives = Cbor.readMap(body).get("hives");
            note("cloud deletes " + hives);
            for (Object id : (List<?>) hives) {
                Worker worker = workers.remove(id);
                if (worker != null) {
                    worker.die();
                }
            }
            return Http.Answer.of(200, Cbor.map());
        }
        if (method.equals("POST")) {
            return Http.Answer.of(503, Cbor.map("error", "no capacity"));
        }
        List<Object> rows = new ArrayList<>();
        workers.values().stream().sorted(Comparator.comparing(worker -> worker.id)).forEach(worker -> {
            if (!path.contains("since=") || worker.id.compareTo(path.replaceAll(".*since=([^&]*).*", "$1")) > 0) {
                rows.add(Cbor.map("id", worker.id, "address", worker.address, "breed", worker.type.name(), "field",
                        worker.zone, "windfall", worker.spot, "mood", "running", "age_s", 300 + ms() / 1000.0));
            }
        });
        return Http.Answer.of(200, Cbor.map("hives", rows, "has_next", false));
    }

    /** Starts a worker on an ordinary machine that is up. */
    Worker worker(int number, Type type, String zone) throws IOException {
        return worker(number, type, zone, false);
    }

    /** Starts a worker on a machine that is up. */
    Worker worker(int number, Type type, String zone, boolean spot) throws IOException {
        Worker worker = new Worker(this, String.format("m-%06d", number), type, zone, spot);
        workers.put(worker.id, worker);
        worker.start();
        return worker;
    }

    /** Called with everything that happens to a task on a machine; "runs" is its start. */
    void onChore(String machine, String chore, long attempt, String what) {
        if (what.equals("runs")) {
            running.computeIfAbsent(chore, key -> new CopyOnWriteArrayList<>()).add(machine);
            starts.merge(chore, 1, Integer::sum);
        } else if (!what.equals("is started")) {
            List<String> where = running.get(chore);
            if (where != null) {
                where.remove(machine);
            }
        }
    }

    // ---- users

    /** Returns a submission; the run time is what its tasks take and what its owner estimates. */
    Map<String, Object> job(String id, int chores, double cpus, double runS) {
        Map<String, Object> job = Cbor.map("id", id, "herd", "aerodromio-check", "crew", "backoffice", "shape", "array", "rank",
                "high", "chores", chores, "cpus", cpus, "gpus", 0.0, "ram_gb", 2.0, "seed", "img-01", "image_gb", 0.4, "breeds",
                null, "field", null, "same_place", false, "apart", false, "windfall", true, "guess_s", runS, "pin_s", 0.0,
                "stash_s", 0.0, "due_s", null);
        return job;
    }

    /** Submits a job through a controller, as a user does: again after a second until it is accepted, for up to 60 s. */
    Http.Answer submit(String node, Map<String, Object> job) throws InterruptedException {
        jobs.putIfAbsent((String) job.get("id"), job);
        long end = ms() + 60_000;
        while (true) {
            Http.Answer answer = Http.call(listen.get(node), "POST", "/v2/runs", Cbor.write(job), 5000);
            note("submit " + job.get("id") + " to " + node + " -> " + answer.status() + " " + answer.field("mood"));
            if (List.of(200, 201, 400, 422).contains(answer.status()) || ms() > end) {
                return answer;
            }
            Thread.sleep(1000);
        }
    }

    Http.Answer poll(String node, String id) {
        Http.Answer answer = Http.call(listen.get(node), "GET", "/v2/runs/" + id, null, 2000);
        note("ask " + node + " for " + id + " -> " + answer.status() + " " + answer.field("mood") + " done="
                + answer.field("done") + " running=" + answer.field("running"));
        return answer;
    }

    /** Cancels a job through a controller, as a user does: again after a second until it is cancelled or done. */
    void cancel(String node, String id) throws InterruptedException {
        for (int i = 0; i < 20; i++) {
            Http.Answer answer = Http.call(listen.get(node), "POST", "/v2/runs/" + id + "/cancel", null, 5000);
            note("cancel " + id + " at " + node + " -> " + answer.status() + " " + answer.field("mood"));
            if (answer.status() == 200) {
                return;
            }
            Thread.sleep(1000);
        }
    }

    /** Returns how many tasks of a job are on machines. */
    long tasksOnMachines(String job) {
        return running.entrySet().stream()
                .filter(task -> task.getKey().startsWith(job + "/") && !task.getValue().isEmpty())
                .count();
    }
}
