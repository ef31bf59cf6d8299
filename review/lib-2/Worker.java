import com.sun.net.httpserver.HttpExchange;
import garnetscale.wire.Cbor;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** A machine with its worker, by PROTOCOL: reports, leases, tokens, tasks and direct commands. */
public final class Worker {
    private static final class Task {
        final String chore;
        final long attempt;
        String mood = "fetching";
        String cause;
        boolean saved;
        double dueS;

        Task(String chore, long attempt, double dueS) {
            this.chore = chore;
            this.attempt = attempt;
            this.dueS = dueS;
        }
    }

    public final String id;
    public final String zone;
    public final World.MachineType type;
    public final boolean spot;
    public final String address;
    private final World world;
    private final double bornS;
    private final Map<Long, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private final Set<String> completed = new HashSet<>();
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(1000))
            .build();
    private long shift = 1;
    private long tick;
    private long baton;
    private double leaseFromS;
    private boolean changed;
    private double tokenChangeS = -1000;
    private int target;
    private volatile boolean deleted;
    private volatile double diedS = -1;
    private volatile double takenS = -1;
    /** Whether the machine stands still: it neither reports nor answers, and its tasks don't go on. */
    public volatile boolean reportsStopped;

    Worker(World world, String id, String zone, World.MachineType type, boolean spot) throws IOException {
        this.world = world;
        this.id = id;
        this.zone = zone;
        this.type = type;
        this.spot = spot;
        this.bornS = world.seconds();
        this.leaseFromS = bornS;
        this.target = (int) (Math.random() * world.nodes.size());
        this.address = "127.0.0.1:" + world.listen(this::handle);
        Thread reports = new Thread(this::report);
        reports.setDaemon(true);
        reports.start();
        Thread clock = new Thread(this::runTasks);
        clock.setDaemon(true);
        clock.start();
    }

    public double ageS() {
        return world.seconds() - bornS;
    }

    /** How the cloud lists the machine; null if it doesn't. A dead machine is listed as running for 30 s more. */
    public String listedAs() {
        if (deleted || takenS >= 0 && world.seconds() - takenS > world.listLagS) {
            return null;
        }
        return diedS >= 0 && world.seconds() - diedS > 30 ? "failed" : "running";
    }

    public boolean isUp() {
        return !deleted && diedS < 0 && takenS < 0;
    }

    public synchronized void delete() {
        deleted = true;
        endAll("its machine was deleted");
    }

    /** The cloud takes a spot machine back without a notice; it no longer lists it, once the list has caught up. */
    public synchronized void take() {
        takenS = world.seconds();
        endAll("its machine was taken");
        world.log("machine taken: " + id);
    }

    /** The machine stops with all that is on it. */
    public synchronized void die() {
        diedS = world.seconds();
        endAll("its machine died");
        world.log("machine died: " + id);
    }

    /** Returns the CPUs that no task takes. */
    public synchronized double freeCpus() {
        double free = type.cpus();
        for (Task task : tasks.values()) {
            if (!task.mood.equals("exited")) {
                free -= job(task).cpus();
            }
        }
        return free;
    }

    public synchronized boolean runs(String job) {
        return tasks.values().stream()
                .anyMatch(task -> task.chore.startsWith(job + "/") && task.mood.equals("running"));
    }

    private World.JobInfo job(Task task) {
        return world.jobs.get(task.chore.substring(0, task.chore.lastIndexOf('/')));
    }

    private void endAll(String why) {
        for (Task task : tasks.values()) {
            if (!task.mood.equals("exited")) {
                world.log("task gone: " + task.chore + " try=" + task.attempt + " on " + id + ", " + why);
            }
        }
        tasks.clear();
    }

    // ---- time

    private void runTasks() {
        while (isUp()) {
            synchronized (this) {
                advance();
            }
            pause(50);
        }
    }

    private void advance() {
        double nowS = world.seconds();
        if (nowS - leaseFromS > world.leaseS) {
            endAll("its worker's lease expired");
            shift++;
            leaseFromS = nowS;
            change();
            world.log("session " + shift + " begins on " + id);
        }
        for (Task task : tasks.values()) {
            if (task.mood.equals("fetching") && nowS >= task.dueS) {
                images.add(job(task).image());
                task.mood = "running";
                task.dueS = nowS + (completed.contains(task.chore) ? 0 : job(task).runS());
                world.log("task starts: " + task.chore + " try=" + task.attempt + " on " + id);
                change();
                if (job(task).fails()) {
                    exit(task, "error");
                }
            }
            if (task.mood.equals("running") && nowS >= task.dueS) {
                completed.add(task.chore);
                exit(task, "done");
            } else if (task.mood.equals("saving") && nowS >= task.dueS) {
                task.saved = true;
                exit(task, "halted");
            }
        }
    }

    private void exit(Task task, String cause) {
        task.mood = "exited";
        task.cause = cause;
        world.log("task exits: " + task.chore + " try=" + task.attempt + " on " + id + ", " + cause);
        change();
    }

    private void change() {
        changed = true;
        notifyAll();
    }

    private static void pause(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- reports

    private void report() {
        pause((long) (Math.random() * 1000 * world.reportS));
        while (isUp()) {
            if (reportsStopped) {
                pause(100);
                continue;
            }
            double sentS = world.seconds();
            long sentShift;
            byte[] body;
            synchronized (this) {
                advance();
                changed = false;
                sentShift = shift;
                body = Cbor.write(row());
            }
            long waitMs = 1000;
            try {
                HttpResponse<byte[]> answer = http.send(
                        HttpRequest.newBuilder(URI.create(
                                        world.nodes.get(target).url() + "/hello"))
                                .timeout(Duration.ofSeconds(4))
                                .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                                .build(),
                        HttpResponse.BodyHandlers.ofByteArray());
                waitMs = onAnswer(answer, sentS, sentShift);
            } catch (Exception e) {
                target = (target + 1) % world.nodes.size();
            }
            waitForNext(sentS, waitMs);
        }
    }

    private long onAnswer(HttpResponse<byte[]> answer, double sentS, long sentShift) throws IOException {
        if (answer.statusCode() == 200) {
            execute(Cbor.readMap(answer.body()), sentS, sentShift);
            return -1;
        }
        if (answer.statusCode() == 421 && answer.body().length > 0) {
            Object steward = Cbor.readMap(answer.body()).get("steward");
            for (int i = 0; i < world.nodes.size(); i++) {
                if (i != target && world.nodes.get(i).name.equals(steward)) {
                    target = i;
                    return 20;
                }
            }
        }
        target = (target + 1) % world.nodes.size();
        return 1000;
    }

    private synchronized void execute(Map<?, ?> answer, double sentS, long sentShift) {
        advance();
        long token = answer.get("baton") instanceof Number number ? number.longValue() : -1;
        if (token < baton || sentShift != shift) {
            return;
        }
        see(token);
        leaseFromS = Math.max(leaseFromS, sentS);
        orders(answer);
    }

    private void see(long token) {
        if (token > baton) {
            baton = token;
            if (world.seconds() - tokenChangeS > world.leaseS / 2) {
                tokenChangeS = world.seconds();
                change();
            }
        }
    }

    /** Waits for the next report: a fixed time after a refusal, otherwise the interval or a change, but at least half a second. */
    private void waitForNext(double sentS, long waitMs) {
        if (waitMs >= 0) {
            pause(waitMs);
            return;
        }
        double dueS = sentS + world.reportS * (0.75 + 0.5 * Math.random());
        synchronized (this) {
            while (isUp() && world.seconds() < dueS && !(changed && world.seconds() > sentS + 0.5)) {
                try {
                    wait(20);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    private Map<String, Object> row() {
        List<Object> chores = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("chore", task.chore);
            row.put("try", task.attempt);
            row.put("mood", task.mood);
            if (task.cause != null) {
                row.put("cause", task.cause);
                row.put("saved", task.saved);
            }
            chores.add(row);
        }
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("hive", id);
        row.put("address", address);
        row.put("breed", type.name());
        row.put("field", zone);
        row.put("windfall", spot);
        row.put("shift", shift);
        row.put("tick", ++tick);
        row.put("baton", baton);
        row.put("warning_s", null);
        row.put("chores", chores);
        return row;
    }

    // ---- commands

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (!isUp()) {
            exchange.close();
            return;
        }
        int status = 200;
        Map<String, Object> row;
        synchronized (this) {
            advance();
            if (exchange.getRequestURI().getPath().equals("/commands")) {
                Map<?, ?> request = Cbor.readMap(body);
                if (!(request.get("baton") instanceof Number token) || !(request.get("shift") instanceof Number session)) {
                    World.reply(exchange, 400, null);
                    return;
                }
                if (token.longValue() < baton || session.longValue() != shift) {
                    status = 409;
                } else {
                    see(token.longValue());
                    orders(request);
                }
            }
            row = row();
        }
        World.reply(exchange, status, row);
    }

    private void orders(Map<?, ?> request) {
        for (Object item : request.get("orders") instanceof List<?> list ? list : List.of()) {
            Map<?, ?> order = (Map<?, ?>) item;
            String chore = (String) order.get("chore");
            long attempt = ((Number) order.get("try")).longValue();
            Task task = tasks.get(attempt);
            world.log("order on " + id + ": " + order.get("verb") + " " + chore + " try=" + attempt);
            switch ((String) order.get("verb")) {
                case "start" -> {
                    if (task == null) {
                        start(chore, attempt);
                    }
                }
                case "halt" -> halt(task, order.get("mercy_s") instanceof Number mercy ? mercy.doubleValue() : 0);
                default -> {
                    if (task != null && task.mood.equals("exited")) {
                        tasks.remove(attempt);
                    }
                }
            }
        }
        advance();
    }

    private void start(String chore, long attempt) {
        World.JobInfo info = world.jobs.get(chore.substring(0, chore.lastIndexOf('/')));
        double free = freeCpus();
        boolean inUse = tasks.values().stream()
                .anyMatch(other -> other.chore.equals(chore) && !other.mood.equals("exited"));
        double fetchS = info == null || images.contains(info.image()) ? 0 : info.imageGb() / 0.8;
        Task task = new Task(chore, attempt, world.seconds() + fetchS);
        tasks.put(attempt, task);
        if (info == null) {
            exit(task, "no_such");
        } else if (inUse) {
            exit(task, "in_use");
        } else if (free < info.cpus()) {
            exit(task, "full");
        } else {
            change();
        }
    }

    private void halt(Task task, double mercyS) {
        if (task == null || task.mood.equals("exited")) {
            return;
        }
        if (task.mood.equals("running") && job(task).saves() && mercyS >= job(task).stashS()) {
            task.mood = "saving";
            task.dueS = world.seconds() + job(task).stashS();
            change();
        } else if (!task.mood.equals("saving") || mercyS == 0) {
            exit(task, "halted");
        }
    }
}
