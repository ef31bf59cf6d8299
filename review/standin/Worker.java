import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** A worker on one machine, by PROTOCOL, "Workers -> controller nodes". */
final class Worker {
    private static final class Chore {
        final String id;
        final long attempt;
        String mood = "fetching";
        String cause;
        long until;

        Chore(String id, long attempt) {
            this.id = id;
            this.attempt = attempt;
        }

        boolean exited() {
            return mood.equals("exited");
        }
    }

    private final Cluster cluster;
    final String id;
    final String address;
    final Cluster.Type type;
    final String zone;
    final boolean spot;
    private final Map<Long, Chore> chores = new LinkedHashMap<>();
    private final Set<String> images = new LinkedHashSet<>();
    private final Set<String> completed = new LinkedHashSet<>();
    private long shift = 1;
    private long tick;
    private long baton;
    private long leaseFrom = Cluster.ms();
    private boolean dead;
    private boolean changed;
    private long tokenReportedAt = -100_000;
    /** How many reports got 200 so far. */
    volatile int answered;
    /** The last answer that wasn't 200. */
    volatile String lastRefusal = "";
    private String node;

    Worker(Cluster cluster, String id, Cluster.Type type, String zone, boolean spot) throws IOException {
        this.cluster = cluster;
        this.id = id;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.address = Http.serve(this::handle);
    }

    void start() {
        List<String> nodes = List.copyOf(cluster.listen.keySet());
        node = nodes.get(ThreadLocalRandom.current().nextInt(nodes.size()));
        Http.thread(this::reports);
        Http.thread(() -> {
            while (!dead) {
                Thread.sleep(20);
                advance();
            }
        });
    }

    synchronized void die() {
        advance();
        chores.values().stream().filter(chore -> !chore.exited()).forEach(chore -> event(chore, "gone with its machine"));
        dead = true;
        notifyAll();
    }

    private void event(Chore chore, String what) {
        cluster.note(id + " " + chore.id + " try " + chore.attempt + " " + what);
        cluster.onChore(id, chore.id, chore.attempt, what);
    }

    private synchronized void advance() {
        if (dead) {
            return;
        }
        long now = Cluster.ms();
        if (now - leaseFrom > cluster.leaseS * 1000) {
            chores.values().stream().filter(chore -> !chore.exited()).forEach(chore -> event(chore, "killed: lease over"));
            chores.clear();
            shift++;
            leaseFrom = now;
            cluster.note(id + " begins session " + shift);
            change();
        }
        for (Chore chore : chores.values()) {
            Map<String, Object> job = cluster.jobs.get(job(chore.id));
            if (chore.mood.equals("fetching") && now >= chore.until) {
                images.add((String) job.get("seed"));
                chore.mood = "running";
                double runS = ((Number) job.getOrDefault("run_s", job.get("guess_s"))).doubleValue();
                chore.until = now + (completed.contains(chore.id) ? 0 : Math.round(1000 * runS));
                event(chore, "runs");
                change();
            }
            if (chore.mood.equals("running") && now >= chore.until) {
                completed.add(chore.id);
                exit(chore, "done");
            }
        }
    }

    private void exit(Chore chore, String cause) {
        chore.mood = "exited";
        chore.cause = cause;
        event(chore, "exited: " + cause);
        change();
    }

    private void change() {
        changed = true;
        notifyAll();
    }

    private static String job(String chore) {
        return chore.substring(0, chore.lastIndexOf('/'));
    }

    private synchronized Map<String, Object> report() {
        advance();
        List<Object> rows = new ArrayList<>();
        for (Chore chore : chores.values()) {
            Map<String, Object> row = Cbor.map("chore", chore.id, "try", chore.attempt, "mood", chore.mood);
            if (chore.cause != null) {
                row.put("cause", chore.cause);
            }
            rows.add(row);
        }
        return Cbor.map("hive", id, "address", address, "breed", type.name(), "field", zone, "windfall", spot, "shift", shift,
                "tick", ++tick, "baton", baton, "warning_s", null, "chores", rows);
    }

    private void reports() throws InterruptedException {
        List<String> nodes = List.copyOf(cluster.listen.keySet());
        long pause = 0;
        while (!dead) {
            long sent;
            long reportedShift;
            byte[] body;
            synchronized (this) {
                long wait = Cluster.ms() + pause;
                long soonest = Cluster.ms() + Math.min(pause, 500);
                while (!dead && Cluster.ms() < (changed ? soonest : wait)) {
                    wait(Math.max(1, (changed ? soonest : wait) - Cluster.ms()));
                }
                changed = false;
                sent = Cluster.ms();
                body = Cbor.write(report());
                reportedShift = shift;
            }
            if (dead) {
                return;
            }
            Http.Answer answer = Http.call(cluster.listen.get(node), "POST", "/hello", body, 4000);
            pause = Math.round(1000 * cluster.reportS * ThreadLocalRandom.current().nextDouble(0.75, 1.25));
            if (answer.status() == 200) {
                onAnswer(sent, reportedShift, answer);
            } else {
                String steward = answer.status() == 421 ? (String) answer.field("steward") : null;
                lastRefusal = node + " " + answer.status() + " " + steward;
                if (steward != null && !steward.equals(node) && nodes.contains(steward)) {
                    node = steward;
                    pause = ThreadLocalRandom.current().nextInt(100);
                } else {
                    node = nodes.get((nodes.indexOf(node) + 1) % nodes.size());
                    pause = 1000;
                }
            }
        }
    }

    private synchronized void onAnswer(long sent, long reportedShift, Http.Answer answer) {
        advance();
        Object token = answer.field("baton");
        if (dead || reportedShift != shift || !(token instanceof Long number) || number < baton) {
            return;
        }
        answered++;
        if (number > baton) {
            baton = number;
            if (Cluster.ms() - tokenReportedAt > cluster.leaseS * 500) {
                tokenReportedAt = Cluster.ms();
                change();
            }
        }
        leaseFrom = Math.max(leaseFrom, sent);
        execute((List<?>) answer.field("orders"));
    }

    private synchronized Http.Answer handle(String method, String path, byte[] body) throws IOException {
        if (dead) {
            return null;
        }
        advance();
        int status = 200;
        if (path.equals("/commands")) {
            Map<String, Object> command = Cbor.readMap(body);
            if (!(command.get("baton") instanceof Long token) || !(command.get("shift") instanceof Long session)) {
                return Http.Answer.of(400, Cbor.map());
            }
            if (token < baton || session != shift) {
                status = 409;
            } else {
                baton = token;
                execute((List<?>) command.get("orders"));
            }
        }
        return Http.Answer.of(status, report());
    }

    private void execute(List<?> orders) {
        for (Object item : orders) {
            Map<?, ?> order = (Map<?, ?>) item;
            String chore = (String) order.get("chore");
            long attempt = (Long) order.get("try");
            Chore present = chores.get(attempt);
            switch ((String) order.get("verb")) {
                case "clear" -> {
                    if (present != null && present.exited()) {
                        chores.remove(attempt);
                    }
                }
                case "halt" -> {
                    if (present != null && !present.exited()) {
                        exit(present, "halted");
                    }
                }
                default -> {
                    if (present == null) {
                        begin(chore, attempt);
                    }
                }
            }
        }
    }

    private void begin(String id, long attempt) {
        Map<String, Object> job = cluster.jobs.get(job(id));
        Chore chore = new Chore(id, attempt);
        double cpus = 0;
        boolean inUse = false;
        for (Chore other : chores.values()) {
            if (!other.exited()) {
                cpus += ((Number) cluster.jobs.get(job(other.id)).get("cpus")).doubleValue();
                inUse |= other.id.equals(id);
            }
        }
        chores.put(attempt, chore);
        event(chore, "is started");
        if (job == null) {
            exit(chore, "no_such");
        } else if (inUse) {
            exit(chore, "in_use");
        } else if (cpus + ((Number) job.get("cpus")).doubleValue() > type.cpus() + 1e-6) {
            exit(chore, "full");
        } else {
            chore.until = images.contains(job.get("seed"))
                    ? 0
                    : Cluster.ms()
                            + Math.round(1000 * ((Number) job.get("image_gb")).doubleValue() / type.fetchGbPerS());
            change();
            advance();
        }
    }
}
