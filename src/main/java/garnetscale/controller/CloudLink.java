package garnetscale.controller;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.Times;
import garnetscale.core.autoscaling.Autoscaler;
import garnetscale.core.autoscaling.CloudCall;
import garnetscale.core.machine.MachineType;
import garnetscale.net.HttpClient;
import garnetscale.net.HttpResult;
import garnetscale.net.HttpStatus;
import garnetscale.wire.CloudCodec;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out the autoscaler's calls to the cloud, one at a time and never above the cloud's rate limit. Passes each answer to
 * the autoscaler first, then to the listener. Confined to the event loop.
 */
final class CloudLink {

    private static final Logger LOG = LoggerFactory.getLogger(CloudLink.class);
    private static final long TIMEOUT_MS = 5000;

    /** Receives the cloud's answers. */
    interface Listener {
        /** Called with the machine types that the cloud offers. */
        void onTypes(List<MachineType> types);

        /** Called when the cloud has confirmed that a machine is deleted or has failed: nothing runs on it any more. */
        void onTerminated(String machine);

        /** Called when all pages of the list of instances have arrived. */
        void onListed();
    }

    private final HttpClient http;
    private final String address;
    private final Autoscaler autoscaler;
    private final long spacingMs;
    private boolean callPending;
    private long calledAt = Times.NEVER;

    CloudLink(SchedulerConfig config, HttpClient http, String address, Autoscaler autoscaler) {
        this.http = http;
        this.address = address;
        this.autoscaler = autoscaler;
        this.spacingMs = autoscaler.spacingMs() + config.wallClockErrorMs();
    }

    /** Returns whether a call may be made now. */
    boolean ready(long now) {
        return !callPending && now - calledAt >= spacingMs;
    }

    /** Makes a call; allowed only while {@link #ready}. */
    void call(long now, CloudCall call, Listener listener) {
        callPending = true;
        calledAt = now;
        if (call instanceof CloudCall.ListTypes) {
            listTypes(listener);
        } else if (call instanceof CloudCall.ListInstances list) {
            listInstances(list, listener);
        } else if (call instanceof CloudCall.ScaleOut scaleOut) {
            scaleOut(scaleOut);
        } else if (call instanceof CloudCall.ScaleIn scaleIn) {
            scaleIn(scaleIn, listener);
        }
    }

    private void listTypes(Listener listener) {
        send(HttpMethod.GET, "/flavors", null, new AnswerHandler() {
            @Override
            public void onOk(byte[] body) throws IOException {
                List<MachineType> types = CloudCodec.types(body);
                autoscaler.onTypes(types);
                listener.onTypes(types);
            }
        });
    }

    private void listInstances(CloudCall.ListInstances call, Listener listener) {
        send(HttpMethod.GET, CloudCodec.pagePath(call), null, new AnswerHandler() {
            @Override
            public void onOk(byte[] body) throws IOException {
                CloudCodec.Page page = CloudCodec.page(body);
                autoscaler.onPage(EventLoopPacer.now(), page.machines(), page.more());
                autoscaler.failedInstances().forEach(listener::onTerminated);
                if (!page.more()) {
                    listener.onListed();
                }
            }
        });
    }

    /** Requests instances. A request without an answer may still be carried out; its instances then show in the list. */
    private void scaleOut(CloudCall.ScaleOut call) {
        send(HttpMethod.POST, "/machines", CloudCodec.scaleOut(call), new AnswerHandler() {
            @Override
            public void onOk(byte[] body) throws IOException {
                autoscaler.onScaledOut(EventLoopPacer.now(), call, CloudCodec.newInstances(body));
            }

            @Override
            public void onFailed() {
                autoscaler.onRefused(EventLoopPacer.now(), call);
            }
        });
    }

    private void scaleIn(CloudCall.ScaleIn call, Listener listener) {
        send(HttpMethod.POST, "/machines/delete", CloudCodec.delete(call), new AnswerHandler() {
            @Override
            public void onOk(byte[] body) {
                autoscaler.onDeleted(call.machines());
                call.machines().forEach(listener::onTerminated);
            }
        });
    }

    /** Handles the answer to one call. */
    private interface AnswerHandler {
        /** Handles the answer to a call that was carried out; throws if the answer's body is malformed. */
        void onOk(byte[] body) throws IOException;

        /** Handles a call that was refused or not answered. */
        default void onFailed() {
            // Nothing to do for most calls: the autoscaler makes them again.
        }
    }

    private void send(HttpMethod method, String path, byte[] body, AnswerHandler handler) {
        http.call(address, method, path, body, TIMEOUT_MS, result -> {
            callPending = false;
            try {
                if (result.is(HttpStatus.OK)) {
                    handler.onOk(result.body());
                } else {
                    logFailure(method, path, result);
                    handler.onFailed();
                }
            } catch (IOException e) {
                LOG.warn("cloud answer malformed, ignored, method={} path={} error={}", method, path, e.getMessage());
            }
        });
    }

    private static void logFailure(HttpMethod method, String path, HttpResult result) {
        LOG.debug(
                "cloud request failed, method={} path={} outcome={} status={}",
                method,
                path,
                result.outcome(),
                result.status());
    }
}
