package garnetscale.controller;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.autoscaling.Autoscaler;
import garnetscale.core.autoscaling.CloudCall;
import garnetscale.core.machine.MachineType;
import garnetscale.net.HttpClient;
import garnetscale.net.HttpResult;
import garnetscale.wire.CloudCodec;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries out the fleet's calls, one at a time and never above the cloud's limit. */
final class CloudLink {

    private static final Logger LOG = LoggerFactory.getLogger(CloudLink.class);
    private static final long TIMEOUT_MS = 5000;

    private final HttpClient http;
    private final String host;
    private final Autoscaler autoscaler;
    private final Consumer<List<MachineType>> types;
    private final Consumer<String> onTerminated;
    private final Runnable listed;
    private final long spacingMs;
    private boolean busy;
    private long lastAt = Long.MIN_VALUE / 2;

    CloudLink(
            SchedulerConfig config,
            HttpClient http,
            String host,
            Autoscaler autoscaler,
            Consumer<List<MachineType>> types,
            Consumer<String> onTerminated,
            Runnable listed) {
        this.http = http;
        this.host = host;
        this.autoscaler = autoscaler;
        this.types = types;
        this.onTerminated = onTerminated;
        this.listed = listed;
        this.spacingMs = autoscaler.spacingMs() + config.clockOffMs();
    }

    boolean ready(long now) {
        return !busy && now - lastAt >= spacingMs;
    }

    void call(long now, CloudCall call) {
        busy = true;
        lastAt = now;
        if (call instanceof CloudCall.ListTypes) {
            send(
                    HttpMethod.GET,
                    "/flavors",
                    null,
                    r -> {
                        List<MachineType> list = CloudCodec.types(r.body());
                        autoscaler.onTypes(list);
                        types.accept(list);
                    },
                    r -> {});
        } else if (call instanceof CloudCall.ListInstances p) {
            send(
                    HttpMethod.GET,
                    CloudCodec.pagePath(p),
                    null,
                    r -> {
                        CloudCodec.Page page = CloudCodec.page(r.body());
                        autoscaler.onPage(Node.now(), page.machines(), page.more());
                        autoscaler.failed().forEach(onTerminated);
                        if (!page.more()) {
                            listed.run();
                        }
                    },
                    r -> {});
        } else if (call instanceof CloudCall.ScaleOut scaleOut) {
            // A rental without an answer may still be carried out; its machines then show in the list.
            send(
                    HttpMethod.POST,
                    "/machines",
                    CloudCodec.scaleOut(scaleOut),
                    r -> autoscaler.onScaledOut(Node.now(), scaleOut, CloudCodec.scaledOut(r.body())),
                    r -> autoscaler.onRefused(Node.now(), scaleOut));
        } else if (call instanceof CloudCall.ScaleIn d) {
            send(
                    HttpMethod.POST,
                    "/machines/delete",
                    CloudCodec.delete(d),
                    r -> {
                        autoscaler.onDeleted(d.machines());
                        d.machines().forEach(onTerminated);
                    },
                    r -> {});
        }
    }

    private interface Body {
        void read(HttpResult r) throws IOException;
    }

    private void send(HttpMethod method, String path, byte[] body, Body ok, Consumer<HttpResult> failed) {
        http.call(host, method, path, body, TIMEOUT_MS, r -> {
            busy = false;
            try {
                if (r.is(200)) {
                    ok.read(r);
                } else {
                    LOG.debug("cloud: {} {} -> {} {}", method, path, r.outcome(), r.status());
                    failed.accept(r);
                }
            } catch (IOException e) {
                LOG.info("cloud: {} {} gave a malformed answer: {}", method, path, e.getMessage());
            }
        });
    }
}
