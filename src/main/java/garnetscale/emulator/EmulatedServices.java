package garnetscale.emulator;

import garnetscale.core.job.JobSpec;
import garnetscale.core.job.TaskId;
import garnetscale.core.machine.MachineType;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.net.ConnectionLimiter;
import garnetscale.net.HttpClient;
import garnetscale.net.HttpServer;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * A state service, a cloud and a few workers on loopback, by their published protocols: for trying the service out, for its
 * tests, and for the class archive that the build makes. They keep everything in memory and know no limits or failures; the machines
 * that they show are made up.
 */
public final class EmulatedServices {

    private static final int MAX_CONNECTIONS = 1000;
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final long KEPT_REVISIONS = 10_000;
    private static final long LEASE_CHECK_MS = 50;
    private static final String ZONE = "a";
    private static final String ANY_PORT = "127.0.0.1:0";
    private static final MachineType TYPE = new MachineType("small-4", 4, 0, 16, 20, 10, 0.4, 0.1, 5, List.of(ZONE));

    private static final WorkerModel.Watcher NO_WATCHER = new WorkerModel.Watcher() {
        @Override
        public void began(String machine, TaskId task, long attempt) {
            // Nothing to watch here: the tests that check the rules bring their own.
        }

        @Override
        public void ended(String machine, TaskId task, long attempt, boolean completed) {
            // As above.
        }
    };

    private final EventLoopGroup loop;
    private final StateModel state = new StateModel();
    private final StateService service = new StateService(state, EmulatedServices::now, KEPT_REVISIONS);
    /** Grows on the caller's thread, read on the event loop. */
    private final List<String> workers = new CopyOnWriteArrayList<>();

    private final Map<String, String> controllers;
    private final HttpClient http;
    private final long heartbeatIntervalMs;

    /** Creates services for the controllers that the workers report to, by name and address. */
    public EmulatedServices(EventLoopGroup loop, Map<String, String> controllers, long heartbeatIntervalMs) {
        this.loop = loop;
        this.controllers = Map.copyOf(controllers);
        this.http = new HttpClient(loop, MAX_CONNECTIONS, CONNECT_TIMEOUT_MS);
        this.heartbeatIntervalMs = heartbeatIntervalMs;
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /**
     * Starts to serve the state service; a port of 0 takes a free one.
     *
     * @return the address that it listens on
     * @throws IOException if the address is in use
     */
    public String startState(String hostPort) throws IOException {
        loop.next().scheduleAtFixedRate(this::expireLeases, LEASE_CHECK_MS, LEASE_CHECK_MS, TimeUnit.MILLISECONDS);
        return listen(hostPort, service::handle);
    }

    private void expireLeases() {
        state.expire(now());
        service.wake();
    }

    /**
     * Starts to serve the cloud.
     *
     * @return the address that it listens on
     * @throws IOException if the address is in use
     */
    public String startCloud(String hostPort) throws IOException {
        return listen(hostPort, new EmulatedCloud(TYPE, workers)::handle);
    }

    /**
     * Starts one worker, a machine of its own.
     *
     * @throws IOException if it finds no port to listen on
     */
    public void startWorker(String id, long leaseMs) throws IOException {
        EmulatedWorker worker = new EmulatedWorker(loop, http, EmulatedServices::now, controllers, heartbeatIntervalMs);
        String address = listen(ANY_PORT, (method, path, body, answer) -> worker.handle(path, body, answer));
        worker.start(new WorkerModel(id, address, TYPE, ZONE, leaseMs, now(), this::job, NO_WATCHER));
        workers.add(id);
    }

    private String listen(String hostPort, HttpServer.Handler handler) throws IOException {
        ChannelFuture listening =
                new HttpServer(loop, new ConnectionLimiter(MAX_CONNECTIONS), MAX_CONNECTIONS, handler).listen(hostPort);
        if (!listening.awaitUninterruptibly().isSuccess()) {
            throw new IOException(
                    "can't listen on " + hostPort + ": " + listening.cause().getMessage());
        }
        return "127.0.0.1:" + ((InetSocketAddress) listening.channel().localAddress()).getPort();
    }

    private JobSpec job(String id) {
        StateModel.Entry entry = state.get(Keys.job(id));
        return entry == null ? null : Records.job(id, entry.value()).spec();
    }
}
