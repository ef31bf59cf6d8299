package garnetscale.controller;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.state.StateReplica;
import garnetscale.net.HttpResult;
import garnetscale.net.HttpStatus;
import garnetscale.net.Reply;
import garnetscale.wire.StateCodec;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** One controller of a {@link ScriptedCluster}: the real link to the state service with its replica, and the real job API. */
final class ScriptedController implements StateLink.Io, StateLink.Listener {

    private static final long MAX_EXTRA_DELAY_MS = 10_000;
    /** Maximum time after which an applied transaction arrives again. */
    private static final int MAX_REPEAT_DELAY_MS = 20_000;

    final String name;
    final StateReplica replica = new StateReplica();
    final StateLink state;
    final JobApi jobApi;
    long refusedUntil;
    /** Until this time, in milliseconds of simulated time, no message of another controller arrives. */
    long cutFromPeersUntil;

    long confirmedAt = -1;
    private long refusalBegan = Long.MAX_VALUE;
    private final ScriptedCluster cluster;

    ScriptedController(ScriptedCluster cluster, String name, int controllerCount) {
        this.cluster = cluster;
        this.name = name;
        List<SchedulerConfig.ControllerAddress> controllers = new ArrayList<>();
        for (int i = 0; i < controllerCount; i++) {
            controllers.add(new SchedulerConfig.ControllerAddress("n" + i, "a", ""));
        }
        SchedulerConfig config = TestConfig.small()
                .self(name)
                .controllers(controllers)
                .teams(new SchedulerConfig.Team("red", 8, 64, 0, 0))
                .state(450, 180)
                .build();
        state = new StateLink(config, this, cluster.random, replica, this);
        jobApi = new JobApi(config, replica, state, job -> null, job -> {});
        state.start();
    }

    /** Makes the state service refuse this controller's requests, and no others, for {@code ms} milliseconds. */
    void refuse(long ms) {
        refusalBegan = cluster.now;
        refusedUntil = cluster.now + ms;
    }

    /** Cuts this controller off from the state service and from the other controllers, but not from users. */
    void cutFromStateAndPeers(long ms) {
        refuse(ms);
        cutFromPeersUntil = cluster.now + ms;
    }

    private boolean isRefused() {
        return cluster.now < refusalEnds();
    }

    private long refusalEnds() {
        return Math.max(cluster.failingUntil, refusedUntil);
    }

    // ---- requests to the state service

    @Override
    public long now() {
        return cluster.now;
    }

    @Override
    public void after(long ms, Runnable task) {
        cluster.at(ms, task);
    }

    @Override
    public void call(HttpMethod method, String path, byte[] body, long timeoutMs, Consumer<HttpResult> done) {
        boolean[] ended = new boolean[1];
        Consumer<HttpResult> once = result -> {
            if (!ended[0]) {
                ended[0] = true;
                done.accept(result);
            }
        };
        cluster.at(timeoutMs, () -> once.accept(HttpResult.NO_ANSWER));
        if (path.startsWith("/keys?") && path.contains("&since=")) {
            cluster.countOccurrence("listed in several pages");
        }
        boolean write = path.equals("/multi");
        double draw = write ? cluster.random.nextDouble() : 1;
        boolean lost = draw < cluster.answerLost;
        boolean delayed = !lost && draw < cluster.answerLost + cluster.late;
        cluster.at(
                delayed ? 2000 + cluster.random.nextInt((int) MAX_EXTRA_DELAY_MS) : cluster.networkDelay(),
                () -> arrive(method, path, body, reply -> {
                    if (write && reply.status() == HttpStatus.OK) {
                        repeatLater(body);
                    }
                    if (delayed) {
                        cluster.countOccurrence(reply.status() == 200 ? "applied late" : "late and rejected");
                    } else if (lost) {
                        cluster.countOccurrence(
                                reply.status() == 200 ? "applied, answer lost" : "rejected, answer lost");
                    } else {
                        cluster.at(
                                cluster.networkDelay(),
                                () -> once.accept(HttpResult.answered(reply.status(), reply.body())));
                    }
                }));
    }

    /** Lets a share of the applied transactions arrive a second time; nobody waits for the answer. */
    private void repeatLater(byte[] body) {
        if (cluster.repeated == 0 || cluster.random.nextDouble() >= cluster.repeated) {
            return;
        }
        cluster.at(
                cluster.random.nextInt(MAX_REPEAT_DELAY_MS),
                () -> arrive(
                        HttpMethod.POST,
                        StateCodec.TRANSACTION_PATH,
                        body,
                        reply -> cluster.countOccurrence("repeat answered " + reply.status())));
    }

    /** Handles a request at the service. A watch that is open when a refusal begins is answered when the refusal ends. */
    private void arrive(HttpMethod method, String path, byte[] body, Consumer<Reply> answer) {
        if (isRefused()) {
            answer.accept(Reply.of(503));
            return;
        }
        cluster.service.handle(method.name(), path, body, reply -> {
            if (path.startsWith("/follow") && isRefused()) {
                cluster.countOccurrence("watch open during a refusal");
                cluster.at(refusalEnds() - cluster.now + 1, () -> arrive(method, path, body, answer));
            } else {
                answer.accept(reply);
            }
        });
        cluster.recordRevision();
    }

    // ---- callbacks of the link

    @Override
    public void onReplicaAdvanced() {
        // The job API reads the replica when it needs to.
    }

    /** Checks that the replica contains everything that was stored when the request was sent. */
    @Override
    public void onReplicaConfirmed(long sentAt) {
        confirmedAt = Math.max(confirmedAt, sentAt);
        if (sentAt > cluster.now || replica.revision() < cluster.revisionAt(sentAt)) {
            cluster.violations.add(name + " at " + cluster.now + " is confirmed as of " + sentAt
                    + ", when the revision was " + cluster.revisionAt(sentAt) + ", but has " + replica.revision());
        }
        if (isRefused() && sentAt >= refusalBegan) {
            cluster.violations.add(name + " is confirmed by a request that was sent during a refusal");
        }
        cluster.countOccurrence("confirmed");
    }

    @Override
    public void onLeaseChanged(long lease) {
        cluster.countOccurrence(lease < 0 ? "lease lost" : "lease");
    }
}
