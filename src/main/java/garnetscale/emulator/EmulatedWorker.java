package garnetscale.emulator;

import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.net.HttpClient;
import garnetscale.net.HttpResult;
import garnetscale.net.Reply;
import garnetscale.wire.Cbor;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** A worker on loopback: sends heartbeats to the controllers and serves direct commands, based on a {@link WorkerModel}. */
final class EmulatedWorker {

    /** The longest delay of the heartbeat by which a worker confirms that it received a higher fencing token. */
    private static final long TOKEN_CHANGE_HEARTBEAT_MS = 500;

    private static final long REDIRECT_DELAY_MS = 10;
    private static final int TIMEOUT_MS = 4000;

    private final EventLoopGroup loop;
    private final HttpClient http;
    private final LongSupplier clock;
    private final Map<String, String> addresses;
    private final List<String> controllers;
    private final long heartbeatIntervalMs;
    private WorkerModel model;
    /** The index of the controller that heartbeats are sent to, modulo the number of controllers. */
    private int target;

    /**
     * Creates a worker; {@link #start} starts it.
     *
     * @param clock     the time in milliseconds
     * @param addresses the addresses of the controllers, by name
     */
    EmulatedWorker(
            EventLoopGroup loop,
            HttpClient http,
            LongSupplier clock,
            Map<String, String> addresses,
            long heartbeatIntervalMs) {
        this.loop = loop;
        this.http = http;
        this.clock = clock;
        this.addresses = addresses;
        this.controllers = List.copyOf(addresses.keySet());
        this.heartbeatIntervalMs = heartbeatIntervalMs;
    }

    /** Starts to send heartbeats. {@link #handle} may be called from then on, but not before. */
    void start(WorkerModel worker) {
        model = worker;
        loop.next().schedule(this::sendHeartbeat, heartbeatIntervalMs / 4, TimeUnit.MILLISECONDS);
    }

    private void sendHeartbeat() {
        model.advance(clock.getAsLong());
        WorkerHeartbeat heartbeat = model.heartbeat();
        String controller = controllers.get(Math.floorMod(target, controllers.size()));
        long sentAt = clock.getAsLong();
        byte[] body = Cbor.write(WorkerMessages.heartbeat(heartbeat));
        http.call(addresses.get(controller), HttpMethod.POST, "/hello", body, TIMEOUT_MS, result -> {
            long pause = onAnswer(heartbeat, sentAt, result);
            loop.next().schedule(this::sendHeartbeat, pause, TimeUnit.MILLISECONDS);
        });
    }

    /** Processes the answer to a heartbeat and returns the milliseconds until the next heartbeat. */
    private long onAnswer(WorkerHeartbeat heartbeat, long sentAt, HttpResult result) {
        try {
            if (result.is(200)) {
                Map<?, ?> body = Cbor.readMap(result.body());
                long fencingToken = WorkerMessages.fencingToken(body);
                model.onHeartbeatReply(
                        clock.getAsLong(), sentAt, heartbeat.agentEpoch(), fencingToken, WorkerMessages.commands(body));
                return fencingToken > heartbeat.fencingToken()
                        ? Math.min(heartbeatIntervalMs, TOKEN_CHANGE_HEARTBEAT_MS)
                        : heartbeatIntervalMs;
            }
            // The answer may name no owner. Without the check by instanceof, the search of the immutable list for null
            // would throw, which would end the worker's heartbeats for good.
            if (result.is(421)
                    && Cbor.readMap(result.body()).get("steward") instanceof String owner
                    && controllers.contains(owner)) {
                target = controllers.indexOf(owner);
                return REDIRECT_DELAY_MS;
            }
            target++;
        } catch (IOException e) {
            target++;
        }
        return heartbeatIntervalMs;
    }

    /** Serves a direct request: commands on the path {@code /commands}, and a request for the worker's status on any other. */
    @SuppressWarnings("IllegalCatch") // Any cast in the decoding of a malformed body may fail; each failure is a 400.
    void handle(String path, byte[] body, Consumer<Reply> answer) {
        int status = 200;
        try {
            if (path.equals("/commands")) {
                Map<?, ?> command = Cbor.readMap(body);
                boolean accepted = model.onDirectCommands(
                        clock.getAsLong(),
                        WorkerMessages.fencingToken(command),
                        WorkerMessages.agentEpoch(command),
                        WorkerMessages.commands(command));
                status = accepted ? 200 : 409;
            }
            answer.accept(Reply.of(status, Cbor.write(WorkerMessages.heartbeat(model.heartbeat()))));
        } catch (IOException | RuntimeException e) {
            answer.accept(Reply.of(400));
        }
    }
}
