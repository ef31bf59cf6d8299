package garnetscale.controller;

import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.core.partition.HeartbeatReply;
import garnetscale.net.HttpServer;
import garnetscale.net.HttpStatus;
import garnetscale.net.Reply;
import garnetscale.wire.WorkerCodec;
import java.io.IOException;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Routes HTTP requests: heartbeats of workers, readiness checks, and the job API. Confined to the event loop. */
final class RequestRouter implements HttpServer.Handler {

    private static final Logger LOG = LoggerFactory.getLogger(RequestRouter.class);
    private static final String READINESS_PATH = "/ready";
    private static final int RETRY_AFTER_S = 1;

    private final ControllerContext context;
    private final ProcessStatus status;
    private final JobApi jobApi;

    RequestRouter(ControllerContext context, ProcessStatus status, JobApi jobApi) {
        this.context = context;
        this.status = status;
        this.jobApi = jobApi;
    }

    @Override
    public void handle(String method, String path, byte[] body, Consumer<Reply> answer) {
        context.profile()
                .run(
                        path.equals(HttpServer.WORKER_HEARTBEAT_PATH)
                                ? EventLoopProfile.Activity.HEARTBEATS
                                : EventLoopProfile.Activity.USERS,
                        () -> route(method, path, body, answer));
    }

    @SuppressWarnings("IllegalCatch") // A request that fails must be answered, and mustn't affect others.
    private void route(String method, String path, byte[] body, Consumer<Reply> answer) {
        try {
            if (path.equals(HttpServer.WORKER_HEARTBEAT_PATH)) {
                answer.accept(method.equals("POST") ? onHeartbeat(body) : Reply.of(HttpStatus.METHOD_NOT_ALLOWED));
            } else if (path.equals(READINESS_PATH)) {
                answer.accept(Reply.of(readiness(method)));
            } else if (path.equals(JobApi.PATH) || path.startsWith(JobApi.PATH + "/")) {
                jobApi.handle(method, path, body, answer);
            } else {
                answer.accept(Reply.of(HttpStatus.NOT_FOUND));
            }
        } catch (RuntimeException e) {
            LOG.error("request failed, answered 503, method={} path={}", method, path, e);
            answer.accept(new Reply(HttpStatus.UNAVAILABLE, new byte[0], RETRY_AFTER_S));
        }
    }

    private int readiness(String method) {
        if (!method.equals("GET")) {
            return HttpStatus.METHOD_NOT_ALLOWED;
        }
        return status.ready() ? HttpStatus.OK : HttpStatus.UNAVAILABLE;
    }

    @SuppressWarnings("IllegalCatch") // A malformed heartbeat is answered with 400, whichever exception it causes.
    private Reply onHeartbeat(byte[] body) {
        WorkerHeartbeat heartbeat;
        try {
            heartbeat = WorkerCodec.heartbeat(body);
        } catch (IOException | RuntimeException e) {
            LOG.warn("worker heartbeat malformed, answered 400, error={}", e.getMessage());
            return Reply.of(HttpStatus.BAD_REQUEST);
        }
        if (!context.replica().isLoaded()) {
            return Reply.of(HttpStatus.UNAVAILABLE);
        }
        HeartbeatReply reply = context.owner().onHeartbeat(EventLoopPacer.now(), heartbeat);
        context.pacer().requestCycle();
        return toHttp(heartbeat.machine(), reply);
    }

    private static Reply toHttp(String machine, HeartbeatReply reply) {
        if (reply instanceof HeartbeatReply.Acknowledge acknowledged) {
            if (!acknowledged.commands().isEmpty()) {
                LOG.debug(
                        "commands sent in heartbeat reply, machine={} fencing_token={} commands={}",
                        machine,
                        acknowledged.fencingToken(),
                        acknowledged.commands());
            }
            return Reply.of(HttpStatus.OK, WorkerCodec.answer(acknowledged.fencingToken(), acknowledged.commands()));
        }
        if (reply instanceof HeartbeatReply.Redirect redirect) {
            return Reply.of(HttpStatus.MISDIRECTED, WorkerCodec.redirect(redirect.node()));
        }
        LOG.debug("worker heartbeat rejected, machine={} reason={}", machine, ((HeartbeatReply.Reject) reply).reason());
        return Reply.of(HttpStatus.UNAVAILABLE);
    }
}
