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
 * Emulates a state service, a cloud and a few workers on loopback, by their published protocols: for trying the scheduler out,
 * for its tests, and for the class data sharing (CDS) archive that the build makes. Everything is kept in memory, without limits
 * or failures. The machines are fictitious.
 */
public final class EmulatedServices {

    private static final int MAX_CONNECTIONS = 1000;
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final long KEPT_REVISIONS = 10_000;
    private static final long LEASE_CHECK_INTERVAL_MS = 50;
    private static final String ZONE = "a";
    private static final String ANY_PORT = "127.0.0.1:0";
    private static final MachineType TYPE = new MachineType("small-4", 4, 0, 16, 20, 10, 0.4, 0.1, 5, List.of(ZONE));

    private static final WorkerModel.TaskListener NO_LISTENER = new WorkerModel.TaskListener() {
        @Override
        public void onStarted(String machine, TaskId task, long attempt) {
            // Does nothing: the tests that check the protocol's rules have listeners of their own.
        }

        @Override
        public void onEnded(String machine, TaskId task, long attempt, boolean completed) {
            // Does nothing, as above.
        }
    };

    private final EventLoopGroup loop;
    private final StateModel state = new StateModel();
    private final StateService service = new StateService(state, EmulatedServices::now, KEPT_REVISIONS);
    /** The names of the started workers. The caller's thread adds to the list; the event loop reads it. */
    private final List<String> workers = new CopyOnWriteArrayList<>();

    private final Map<String, String> controllers;
    private final HttpClient http;
    private final long heartbeatIntervalMs;

    /**
     * Creates the services; none is started yet.
     *
     * @param controllers the addresses to which the workers send heartbeats, by controller name
     */
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
     * Starts the state service. Port 0 selects a free port.
     *
     * @return the address that it listens on
     * @throws IOException if the address is in use
     */
    public String startState(String hostPort) throws IOException {
        loop.next()
                .scheduleAtFixedRate(
                        this::expireLeases, LEASE_CHECK_INTERVAL_MS, LEASE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        return listen(hostPort, service::handle);
    }

    private void expireLeases() {
        state.expireLeases(now());
        service.answerWatches();
    }

    /**
     * Starts the cloud. Port 0 selects a free port.
     *
     * @return the address that it listens on
     * @throws IOException if the address is in use
     */
    public String startCloud(String hostPort) throws IOException {
        return listen(hostPort, new EmulatedCloud(TYPE, workers)::handle);
    }

    /**
     * Starts a worker on a machine of its own.
     *
     * @param id      the name of the machine
     * @param leaseMs the duration of the worker's lease
     * @throws IOException if there is no free port to listen on
     */
    public void startWorker(String id, long leaseMs) throws IOException {
        EmulatedWorker worker = new EmulatedWorker(loop, http, EmulatedServices::now, controllers, heartbeatIntervalMs);
        String address = listen(ANY_PORT, (method, path, body, answer) -> worker.handle(path, body, answer));
        worker.start(new WorkerModel(id, address, TYPE, ZONE, leaseMs, now(), this::job, NO_LISTENER));
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
