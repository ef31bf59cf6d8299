package garnetscale.controller;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobState;
import garnetscale.core.job.TestJob;
import garnetscale.core.machine.MachineType;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.state.TransactionOutcome;
import garnetscale.emulator.StateModel;
import garnetscale.emulator.StateService;
import garnetscale.net.HttpResult;
import garnetscale.net.Reply;
import garnetscale.timeline.Timeline;
import garnetscale.wire.Cbor;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Users at all nodes at once, in one simulated time and from one seed: the real fronts, their real links to the state service
 * with the replicas that these keep, and a scripted service that loses answers, carries transactions out late and refuses. A
 * leader beside them ends jobs. Answers are held against what was told before their question.
 */
final class ScriptedCluster extends Timeline {

    private static final int NODES = 3;
    /** Asked about, and never submitted. */
    static final String NOBODYS = "wk-7";

    private static final MachineType TYPE = new MachineType("t", 8, 0, 32, 20, 1, 1, 0.5, 20, List.of("a"));

    /** What users know: how far a job has come by the newest answer. */
    private enum Told {
        NOTHING,
        ACCEPTED,
        OVER
    }

    final StateModel state = new StateModel();
    final List<Desk> desks = new ArrayList<>();
    private final Map<String, Told> told = new HashMap<>();
    private final Map<String, String> ends = new HashMap<>();
    private final Set<String> cancelAsked = new HashSet<>();
    private final Set<String> refused = new HashSet<>();
    final List<String> broken = new ArrayList<>();
    private final StateService service = new StateService(state, () -> this.now, 300);
    /** The store's revision at each time at which it changed, for what a replica must hold. */
    private final TreeMap<Long, Long> revisions = new TreeMap<>();
    /** Shares of transactions of which only the answer is lost, and of those that are carried out late without one. */
    double answerLost;

    double late;
    long failingUntil;
    boolean ending = true;

    ScriptedCluster(long seed) {
        super(seed);
        state.commit(new Transaction().put(Keys.TYPES, Records.types(List.of(TYPE))));
        refused.add(NOBODYS);
        for (int i = 0; i < NODES; i++) {
            desks.add(new Desk("n" + i));
        }
        at(2000, this::end);
        every(50, () -> {
            if (now >= failingUntil) {
                state.expire(now);
                service.wake();
                revisions.put(now, state.revision());
            }
        });
    }

    private long hop() {
        return 1 + random.nextInt(random.nextInt(12) == 0 ? 250 : 5);
    }

    /** Sends a transaction as PROTOCOL lets it fare; MAYBE comes after the client's two seconds. */
    private void commit(Transaction transaction, BiConsumer<TransactionOutcome, Long> done) {
        if (now < failingUntil) {
            at(hop(), () -> done.accept(TransactionOutcome.REFUSED, -1L));
            return;
        }
        double luck = random.nextDouble();
        if (luck < answerLost) {
            at(hop(), () -> {
                if (state.commit(transaction) == 200) {
                    met("carried out, answer lost");
                }
            });
            at(2000, () -> done.accept(TransactionOutcome.MAYBE, -1L));
        } else if (luck < answerLost + late) {
            at(
                    2000 + random.nextInt(10_000),
                    () -> met(state.commit(transaction) == 200 ? "carried out late" : "late and overtaken"));
            at(2000, () -> done.accept(TransactionOutcome.MAYBE, -1L));
        } else {
            at(hop(), () -> {
                int status = state.commit(transaction);
                long revision = state.revision();
                at(
                        hop(),
                        () -> done.accept(
                                status == 200 ? TransactionOutcome.OK : TransactionOutcome.CONFLICT, revision));
            });
        }
    }

    /** The leader's part: now and then a job's last task ends, which is stored over its key; then all nodes are told. */
    private void end() {
        if (ending) {
            List<String> live = state.list(Keys.job(""), null, 100).stream()
                    .map(c -> c.key().substring(Keys.job("").length()))
                    .toList();
            if (!live.isEmpty()) {
                String id = live.get(random.nextInt(live.size()));
                StateModel.Entry e = state.get(Keys.job(id));
                JobState was = Records.job(id, e.value()).state();
                Records.TerminalJob how =
                        new Records.TerminalJob(was == JobState.LIVE ? JobState.DONE : was, 1, 1, "red");
                commit(
                        new Transaction()
                                .guard(Keys.job(id), e.modRevision())
                                .delete(Keys.job(id))
                                .put(Keys.terminalJob(id), Records.terminalJob(how)),
                        (result, revision) -> {
                            if (result == TransactionOutcome.OK) {
                                desks.forEach(d -> at(hop(), () -> d.front.onTerminated(id, how)));
                            }
                        });
            }
        }
        at(100 + random.nextInt(200), this::end);
    }

    static Map<String, Object> record(String id) {
        return Records.job(new JobRecord(TestJob.named(id).imageGb(0.5).build(), JobState.LIVE, 0));
    }

    // ---- users

    private static byte[] body(String id, String team, double cpus, boolean whole) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("id", id);
        m.put("herd", "c");
        m.put("crew", team);
        m.put("shape", "array");
        m.put("rank", "high");
        m.put("chores", 1);
        m.put("cpus", cpus);
        m.put("gpus", 0.0);
        m.put("ram_gb", 1.0);
        m.put("seed", "img");
        m.put("image_gb", 0.5);
        m.put("same_place", false);
        m.put("apart", false);
        m.put("windfall", true);
        m.put("guess_s", 10.0);
        m.put("pin_s", 0.0);
        if (whole) {
            m.put("stash_s", 0.0);
        }
        return Cbor.write(m);
    }

    /** Asks one node and holds its answer against what was told before the question. */
    void ask(Desk desk, String method, String path, byte[] body, String id, Consumer<Reply> then) {
        Told before = told.getOrDefault(id, Told.NOTHING);
        String end = ends.get(id);
        String question = method + " " + path + " at " + desk.name + ", " + now;
        if (before != Told.NOTHING && desk.replica.revision() < state.revision()) {
            met("asked where the mirror was behind");
        }
        boolean[] answered = new boolean[1];
        desk.front.handle(method, path, body, reply -> {
            if (answered[0]) {
                broken.add(question + " answered twice");
            }
            answered[0] = true;
            at(hop(), () -> {
                evaluate(id, before, end, question, reply);
                then.accept(reply);
            });
        });
    }

    private void evaluate(String id, Told before, String end, String question, Reply reply) {
        if (reply.status() == 503) {
            if (reply.retryAfterS() < 1) {
                broken.add(question + ": 503 without Retry-After");
            }
            return;
        }
        if (reply.status() != 200 && reply.status() != 201) {
            if (before != Told.NOTHING) {
                broken.add(question + ": " + reply.status() + " after " + before);
            }
            return;
        }
        String mood = mood(reply);
        boolean over = mood.equals("done") || mood.equals("withdrawn");
        if (before == Told.OVER && !mood.equals(end)) {
            broken.add(question + ": " + mood + " after " + end);
        }
        if (mood.equals("withdrawn") && !cancelAsked.contains(id)) {
            broken.add(question + ": nobody cancelled it");
        }
        if (refused.contains(id)) {
            broken.add(question + ": a refused job became one");
        }
        told.merge(id, over ? Told.OVER : Told.ACCEPTED, (a, b) -> a.compareTo(b) > 0 ? a : b);
        String other = over ? ends.putIfAbsent(id, mood) : null;
        if (other != null && !other.equals(mood)) {
            broken.add(question + ": " + mood + ", and " + other + " elsewhere");
        }
    }

    private static String mood(Reply reply) {
        try {
            return String.valueOf(Cbor.readMap(reply.body()).get("mood"));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    Desk any() {
        return desks.get(random.nextInt(desks.size()));
    }

    /** Submits until it is answered for good, and looks closely whenever something was told. */
    void submit(String id, String team, double cpus) {
        ask(any(), "POST", "/v2/runs", body(id, team, cpus, true), id, reply -> {
            if (reply.status() == 422 || reply.status() == 400) {
                refused.add(id);
            } else if (reply.status() == 503) {
                at(1000, () -> submit(id, team, cpus));
            } else {
                met("accepted");
                closeLook(id);
                if (random.nextInt(3) == 0) {
                    met("cancelled at once");
                    cancel(id);
                }
                at(random.nextInt(2000), () -> poll(id));
            }
        });
    }

    void cancel(String id) {
        cancelAsked.add(id);
        boolean known = told.containsKey(id);
        ask(any(), "POST", "/v2/runs/" + id + "/cancel", null, id, reply -> {
            if (reply.status() == 503) {
                at(1000, () -> cancel(id));
            } else if (reply.status() == 200) {
                met("told " + mood(reply) + " on cancelling");
                closeLook(id);
            } else if (known) {
                broken.add("cancel of " + id + " answered " + reply.status());
            }
        });
    }

    void poll(String id) {
        ask(any(), "GET", "/v2/runs/" + id, null, id, reply -> {
            if (reply.status() == 200 && !mood(reply).equals("pending")) {
                met("told " + mood(reply));
                closeLook(id);
            } else {
                at(300 + random.nextInt(600), () -> poll(id));
            }
        });
    }

    /** Questions at all nodes within milliseconds, and repeats of the submission, also with other bodies. */
    private void closeLook(String id) {
        for (Desk d : desks) {
            for (int i = 0; i < 3; i++) {
                at(random.nextInt(12), () -> {
                    met("close look");
                    switch (random.nextInt(4)) {
                        case 0 -> ask(d, "POST", "/v2/runs", body(id, "red", 2, true), id, r -> {});
                        case 1 -> ask(d, "POST", "/v2/runs", body(id, "nobody", 99, random.nextBoolean()), id, r -> {});
                        default -> ask(d, "GET", "/v2/runs/" + id, null, id, r -> {});
                    }
                });
            }
        }
    }

    /** Every job that was accepted is known in the end, and none that was refused. */
    void settle() {
        answerLost = 0;
        late = 0;
        run(now + 60_000);
        for (String id : Set.copyOf(told.keySet())) {
            boolean[] known = new boolean[1];
            ask(any(), "GET", "/v2/runs/" + id, null, id, reply -> known[0] = reply.status() == 200);
            run(now + 3000);
            if (!known[0]) {
                broken.add("forgotten: " + id);
            }
        }
        refused.forEach(id -> {
            if (state.get(Keys.job(id)) != null || state.get(Keys.terminalJob(id)) != null) {
                broken.add("refused and stored: " + id);
            }
        });
    }

    /** Whether the store refuses the node: everybody in an outage, or it alone. */
    private boolean refuses(Desk desk) {
        return now < failingUntil || now < desk.refusedUntil;
    }

    private long refusalEnds(Desk desk) {
        return Math.max(failingUntil, desk.refusedUntil);
    }

    /** The revision that the store had at a time. */
    long revisionAt(long time) {
        Map.Entry<Long, Long> e = revisions.floorEntry(time);
        return e == null ? 0 : e.getValue();
    }

    /** One node: the real link to the state service with the replica that it keeps, and the real front. */
    final class Desk implements StateLink.Io, StateLink.Listener {

        final String name;
        final StateReplica replica = new StateReplica();
        final StateLink state;
        final JobApi front;
        long refusedUntil;
        long confirmedAt = -1;

        Desk(String name) {
            this.name = name;
            List<SchedulerConfig.ControllerAddress> controllers = new ArrayList<>();
            for (int i = 0; i < NODES; i++) {
                controllers.add(new SchedulerConfig.ControllerAddress("n" + i, "a", ""));
            }
            SchedulerConfig config = TestConfig.small()
                    .self(name)
                    .controllers(controllers)
                    .teams(new SchedulerConfig.Team("red", 8, 64, 0, 0))
                    .state(450, 180)
                    .build();
            state = new StateLink(config, this, random, replica, this);
            front = new JobApi(config, replica, state, job -> null, job -> {});
            state.start();
        }

        @Override
        public long now() {
            return now;
        }

        @Override
        public void after(long ms, Runnable run) {
            at(ms, run);
        }

        @Override
        public void call(HttpMethod method, String path, byte[] body, long timeoutMs, Consumer<HttpResult> done) {
            boolean[] over = new boolean[1];
            Consumer<HttpResult> once = r -> {
                if (!over[0]) {
                    over[0] = true;
                    done.accept(r);
                }
            };
            at(timeoutMs, () -> once.accept(HttpResult.NO_ANSWER));
            if (path.startsWith("/keys?") && path.contains("&since=")) {
                met("listed in several pages");
            }
            boolean write = path.equals("/multi");
            double luck = write ? random.nextDouble() : 1;
            boolean lost = luck < answerLost;
            boolean held = !lost && luck < answerLost + late;
            at(
                    held ? 2000 + random.nextInt(10_000) : hop(),
                    () -> arrive(method, path, body, reply -> {
                        if (held) {
                            met(reply.status() == 200 ? "carried out late" : "late and overtaken");
                        } else if (lost) {
                            met(reply.status() == 200 ? "carried out, answer lost" : "refused, answer lost");
                        } else {
                            at(hop(), () -> once.accept(HttpResult.answered(reply.status(), reply.body())));
                        }
                    }));
        }

        /** What hangs open in a refusal is answered when it is over, however old it is by then. */
        private void arrive(HttpMethod method, String path, byte[] body, Consumer<Reply> answer) {
            if (refuses(this)) {
                answer.accept(Reply.of(503));
                return;
            }
            service.handle(method.name(), path, body, reply -> {
                if (path.startsWith("/follow") && refuses(this)) {
                    met("a watch hung open through a refusal");
                    at(refusalEnds(this) - now + 1, () -> arrive(method, path, body, answer));
                } else {
                    answer.accept(reply);
                }
            });
            revisions.put(now, ScriptedCluster.this.state.revision());
        }

        @Override
        public void advanced() {
            // The front asks when it needs to.
        }

        /** What the holder's grace runs from: by now the replica must hold all that the store had when this was sent. */
        @Override
        public void confirmed(long sentAt) {
            confirmedAt = Math.max(confirmedAt, sentAt);
            if (sentAt > now || replica.revision() < revisionAt(sentAt)) {
                broken.add(name + " at " + now + " takes itself for complete as of " + sentAt + ", revision "
                        + revisionAt(sentAt) + ", and has " + replica.revision());
            }
            if (refuses(this) && sentAt >= refusalBegan) {
                broken.add(name + " is confirmed by a request that was sent while it was refused");
            }
            met("confirmed");
        }

        @Override
        public void leased(long lease) {
            met(lease < 0 ? "lease lost" : "lease");
        }

        long refusalBegan = Long.MAX_VALUE;

        void refuse(long ms) {
            refusalBegan = now;
            refusedUntil = now + ms;
        }
    }
}
