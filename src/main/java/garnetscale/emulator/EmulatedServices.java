package garnetscale.emulator;

import garnetscale.core.job.JobSpec;
import garnetscale.core.job.TaskId;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.TaskState;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.machine.WorkerCommand;
import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.net.ConnectionLimiter;
import garnetscale.net.HttpClient;
import garnetscale.net.HttpServer;
import garnetscale.net.Reply;
import garnetscale.wire.Cbor;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A state service, a cloud and a few workers on loopback, by their published protocols: for trying the service
 * out, for its tests, and for the class archive that the build makes. They keep everything in memory and know no
 * limits or failures; the machines that they show are made up.
 */
public final class EmulatedServices {

    private static final int MOST_CONNECTIONS = 1000;
    private static final long KEPT = 10_000;
    /** A worker reports a token that it hasn't seen before once this has passed. */
    private static final long CHANGE_REPORTED_MS = 500;

    private static final MachineType TYPE = new MachineType("small-4", 4, 0, 16, 20, 10, 0.4, 0.1, 5, List.of("a"));

    private final EventLoopGroup loop;
    private final StateModel state = new StateModel();
    private final StateService service = new StateService(state, EmulatedServices::now, KEPT);
    private final List<WorkerModel> workers = new ArrayList<>();
    private final Map<String, Integer> target = new HashMap<>();
    private final List<String> controllers;
    private final Map<String, String> addresses;
    private final HttpClient http;
    private final long heartbeatIntervalMs;

    /** Controllers by name and address, to which the workers report. */
    public EmulatedServices(EventLoopGroup loop, Map<String, String> controllers, long heartbeatIntervalMs) {
        this.loop = loop;
        this.addresses = Map.copyOf(controllers);
        this.controllers = List.copyOf(controllers.keySet());
        this.http = new HttpClient(loop, MOST_CONNECTIONS, 500);
        this.heartbeatIntervalMs = heartbeatIntervalMs;
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** Starts to serve the state service; a port of 0 takes a free one. Returns the address. */
    public String startState(String hostPort) throws IOException {
        loop.next()
                .scheduleAtFixedRate(
                        () -> {
                            state.expire(now());
                            service.wake();
                        },
                        50,
                        50,
                        TimeUnit.MILLISECONDS);
        return listen(hostPort, service::handle);
    }

    /** Starts to serve the cloud. */
    public String startCloud(String hostPort) throws IOException {
        return listen(hostPort, this::onCloud);
    }

    /** Starts one worker, a machine of its own. */
    public void startWorker(String id, long leaseMs) throws IOException {
        WorkerModel[] w = new WorkerModel[1];
        String address = listen("127.0.0.1:0", (method, path, body, answer) -> onWorker(w[0], path, body, answer));
        w[0] = new WorkerModel(id, address, TYPE, "a", leaseMs, now(), this::job, new WorkerModel.Watcher() {
            @Override
            public void began(String machine, TaskId task, long attempt) {
                // Nothing to watch here: the tests that check the rules bring their own.
            }

            @Override
            public void ended(String machine, TaskId task, long attempt, boolean completed) {
                // As above.
            }
        });
        workers.add(w[0]);
        target.put(id, 0);
        loop.next().schedule(() -> heartbeat(w[0]), heartbeatIntervalMs / 4, TimeUnit.MILLISECONDS);
    }

    private String listen(String hostPort, HttpServer.Handler handler) throws IOException {
        ChannelFuture f = new HttpServer(loop, new ConnectionLimiter(MOST_CONNECTIONS), MOST_CONNECTIONS, handler)
                .listen(hostPort);
        if (!f.awaitUninterruptibly().isSuccess()) {
            throw new IOException(
                    "can't listen on " + hostPort + ": " + f.cause().getMessage());
        }
        return "127.0.0.1:" + ((InetSocketAddress) f.channel().localAddress()).getPort();
    }

    private JobSpec job(String id) {
        StateModel.Entry e = state.get(Keys.job(id));
        return e == null ? null : Records.job(id, e.value()).spec();
    }

    private static Reply ok(Map<String, ?> body) {
        return Reply.of(200, Cbor.write(body));
    }

    // ---- cloud

    private void onCloud(String method, String uri, byte[] body, Consumer<Reply> answer) {
        String path = new QueryStringDecoder(uri).path();
        if (path.equals("/flavors")) {
            Map<String, Object> t = new LinkedHashMap<>();
            t.put("name", TYPE.name());
            t.put("cpus", TYPE.cpus());
            t.put("gpus", TYPE.gpus());
            t.put("ram_gb", TYPE.memoryGb());
            t.put("cache_gb", TYPE.cacheGb());
            t.put("fetch_gb_per_s", TYPE.fetchGbPerS());
            t.put("rate", TYPE.price());
            t.put("market_price", TYPE.spotPrice());
            t.put("startup_s", TYPE.bootS());
            t.put("fields", TYPE.zones());
            answer.accept(ok(Map.of("breeds", List.of(t))));
        } else if (path.equals("/machines") && method.equals("GET")) {
            List<Object> rows = new ArrayList<>();
            for (WorkerModel w : workers) {
                rows.add(Map.of(
                        "id",
                        w.id(),
                        "address",
                        "",
                        "breed",
                        TYPE.name(),
                        "field",
                        "a",
                        "windfall",
                        false,
                        "mood",
                        "running",
                        "age_s",
                        10.0));
            }
            answer.accept(ok(Map.of("hives", rows, "has_next", false)));
        } else if (path.equals("/machines")) {
            answer.accept(Reply.of(503, Cbor.write(Map.of("error", "no capacity"))));
        } else {
            answer.accept(ok(Map.of()));
        }
    }

    // ---- workers

    private void heartbeat(WorkerModel w) {
        w.advance(now());
        WorkerHeartbeat r = w.heartbeat();
        String node = controllers.get(Math.floorMod(target.get(w.id()), controllers.size()));
        long sentAt = now();
        http.call(addresses.get(node), HttpMethod.POST, "/hello", Cbor.write(body(r)), 4000, result -> {
            long pause = heartbeatIntervalMs;
            try {
                Map<?, ?> m = result.status() == 200 || result.status() == 421 ? Cbor.readMap(result.body()) : Map.of();
                if (result.is(200)) {
                    long fencingToken = ((Number) m.get("baton")).longValue();
                    w.answered(now(), sentAt, r.agentEpoch(), fencingToken, commands(m));
                    if (fencingToken > r.fencingToken()) {
                        pause = Math.min(heartbeatIntervalMs, CHANGE_REPORTED_MS);
                    }
                } else if (result.is(421) && m.get("steward") instanceof String to && controllers.contains(to)) {
                    // A steward may be missing: asking an immutable list for null ended the worker for good.
                    target.put(w.id(), controllers.indexOf(to));
                    pause = 10;
                } else {
                    target.merge(w.id(), 1, Integer::sum);
                }
            } catch (IOException e) {
                target.merge(w.id(), 1, Integer::sum);
            }
            loop.next().schedule(() -> heartbeat(w), pause, TimeUnit.MILLISECONDS);
        });
    }

    private void onWorker(WorkerModel w, String path, byte[] body, Consumer<Reply> answer) {
        int status = 200;
        try {
            if (path.equals("/commands")) {
                Map<?, ?> m = Cbor.readMap(body);
                boolean done = w.command(
                        now(),
                        ((Number) m.get("baton")).longValue(),
                        ((Number) m.get("shift")).longValue(),
                        commands(m));
                status = done ? 200 : 409;
            }
            answer.accept(Reply.of(status, Cbor.write(body(w.heartbeat()))));
        } catch (IOException | RuntimeException e) {
            answer.accept(Reply.of(400));
        }
    }

    private static List<WorkerCommand> commands(Map<?, ?> m) {
        List<WorkerCommand> list = new ArrayList<>();
        for (Object o : (List<?>) m.get("orders")) {
            Map<?, ?> row = (Map<?, ?>) o;
            TaskId task = TaskId.parse((String) row.get("chore"));
            long attempt = ((Number) row.get("try")).longValue();
            list.add(
                    switch ((String) row.get("verb")) {
                        case "start" -> new WorkerCommand.Start(task, attempt);
                        case "halt" ->
                            new WorkerCommand.Stop(task, attempt, ((Number) row.get("mercy_s")).doubleValue());
                        default -> new WorkerCommand.Clear(task, attempt);
                    });
        }
        return list;
    }

    private static String mood(TaskState state) {
        return switch (state) {
            case FETCHING -> "fetching";
            case RUNNING -> "running";
            case CHECKPOINTING -> "saving";
            case EXITED -> "exited";
            case UNKNOWN -> "unknown";
        };
    }

    private static Map<String, Object> body(WorkerHeartbeat r) {
        List<Object> tasks = new ArrayList<>();
        for (TaskStatus t : r.tasks()) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("chore", t.task().toString());
            m.put("try", t.attempt());
            m.put("mood", mood(t.state()));
            if (t.cause() != null) {
                m.put(
                        "cause",
                        switch (t.cause()) {
                            case DONE -> "done";
                            case STOPPED -> "halted";
                            case ERROR -> "error";
                            case NO_ROOM -> "full";
                            case BUSY -> "in_use";
                            default -> "no_such";
                        });
            }
            tasks.add(m);
        }
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("hive", r.machine());
        m.put("address", r.address());
        m.put("breed", r.type());
        m.put("field", r.zone());
        m.put("windfall", r.spot());
        m.put("shift", r.agentEpoch());
        m.put("tick", r.tick());
        m.put("baton", r.fencingToken());
        m.put("warning_s", null);
        m.put("chores", tasks);
        return m;
    }
}
