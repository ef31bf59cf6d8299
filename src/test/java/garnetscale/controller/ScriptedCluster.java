package garnetscale.controller;

import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobState;
import garnetscale.core.job.TestJob;
import garnetscale.core.machine.MachineType;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.Transaction;
import garnetscale.core.state.TransactionOutcome;
import garnetscale.emulator.StateModel;
import garnetscale.emulator.StateService;
import garnetscale.net.Reply;
import garnetscale.timeline.Timeline;
import garnetscale.wire.Cbor;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Simulates users of all controllers in simulated time, from one seed. The job APIs and their links to the state service,
 * with the replicas that the links keep, are the real ones; the scripted service loses answers, applies transactions late and
 * refuses requests. A simulated leader ends jobs. Each answer is checked against the answers that came before its request.
 */
final class ScriptedCluster extends Timeline {

    private static final int CONTROLLERS = 3;
    /** A job that is looked up but never submitted. */
    static final String NEVER_SUBMITTED = "wk-7";

    private static final MachineType TYPE = new MachineType("t", 8, 0, 32, 20, 1, 1, 0.5, 20, List.of("a"));

    final StateModel state = new StateModel();
    final List<ScriptedController> controllers = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    final StateService service = new StateService(state, () -> this.now, 300);
    private final AnswerHistory history = new AnswerHistory(violations);
    /** The stored revision by the time at which it was recorded; shows what a replica must contain. */
    private final TreeMap<Long, Long> revisions = new TreeMap<>();
    /** Share of transactions that are applied but whose answer is lost. */
    double answerLost;
    /** Share of transactions that are applied late, without an answer. */
    double late;
    /** Share of applied transactions of users that arrive again later. */
    double repeated;
    /** Until this time, in milliseconds of simulated time, the state service refuses every request. */
    long failingUntil;

    ScriptedCluster(long seed) {
        super(seed);
        // A source of its own, so that the order doesn't change what else the seed determines.
        Random changeOrder = new Random(seed);
        state.orderChanges(changes -> Collections.shuffle(changes, changeOrder));
        state.commit(new Transaction().put(Keys.TYPES, Records.types(List.of(TYPE))));
        history.refuse(NEVER_SUBMITTED);
        for (int i = 0; i < CONTROLLERS; i++) {
            controllers.add(new ScriptedController(this, "n" + i, CONTROLLERS));
        }
        at(2000, this::endOneJob);
        every(50, () -> {
            if (now >= failingUntil) {
                state.expireLeases(now);
                service.answerWatches();
                recordRevision();
            }
        });
    }

    /** Returns the milliseconds that a message takes: mostly a few, sometimes up to 250. */
    long networkDelay() {
        return 1 + random.nextInt(random.nextInt(12) == 0 ? 250 : 5);
    }

    void recordRevision() {
        revisions.put(now, state.revision());
    }

    /** Returns the revision that was stored at a time. */
    long revisionAt(long time) {
        Map.Entry<Long, Long> entry = revisions.floorEntry(time);
        return entry == null ? 0 : entry.getValue();
    }

    // ---- the leader

    /** Sends a transaction, with any outcome that PROTOCOL allows; UNKNOWN comes after the client's time-out of two seconds. */
    private void commit(Transaction transaction, BiConsumer<TransactionOutcome, Long> done) {
        if (now < failingUntil) {
            at(networkDelay(), () -> done.accept(TransactionOutcome.REFUSED, -1L));
            return;
        }
        double draw = random.nextDouble();
        if (draw < answerLost) {
            at(networkDelay(), () -> {
                if (state.commit(transaction) == 200) {
                    countOccurrence("applied, answer lost");
                }
            });
            at(2000, () -> done.accept(TransactionOutcome.UNKNOWN, -1L));
        } else if (draw < answerLost + late) {
            at(
                    2000 + random.nextInt(10_000),
                    () -> countOccurrence(state.commit(transaction) == 200 ? "applied late" : "late and rejected"));
            at(2000, () -> done.accept(TransactionOutcome.UNKNOWN, -1L));
        } else {
            at(networkDelay(), () -> {
                int status = state.commit(transaction);
                long revision = state.revision();
                at(
                        networkDelay(),
                        () -> done.accept(
                                status == 200 ? TransactionOutcome.OK : TransactionOutcome.CONFLICT, revision));
            });
        }
    }

    /** Periodically ends the last task of a job: replaces the job's key by its terminal record, then notifies all controllers. */
    private void endOneJob() {
        List<String> live = state.list(Keys.job(""), null, 100).stream()
                .map(change -> change.key().substring(Keys.job("").length()))
                .toList();
        if (!live.isEmpty()) {
            String id = live.get(random.nextInt(live.size()));
            StateModel.Entry stored = state.get(Keys.job(id));
            JobState before = Records.job(id, stored.value()).state();
            Records.TerminalJob terminal =
                    new Records.TerminalJob(before == JobState.LIVE ? JobState.DONE : before, 1, 1, "red");
            commit(
                    new Transaction()
                            .guard(Keys.job(id), stored.modRevision())
                            .delete(Keys.job(id))
                            .put(Keys.terminalJob(id), Records.terminalJob(terminal)),
                    (outcome, revision) -> {
                        if (outcome == TransactionOutcome.OK) {
                            controllers.forEach(
                                    controller -> at(networkDelay(), () -> notify(controller, id, terminal)));
                        }
                    });
        }
        at(100 + random.nextInt(200), this::endOneJob);
    }

    /** Delivers the leader's message about the end of a job, unless the controller is cut off from the other controllers. */
    private void notify(ScriptedController controller, String id, Records.TerminalJob terminal) {
        if (now < controller.cutFromPeersUntil) {
            countOccurrence("end of a job not announced");
        } else {
            controller.jobApi.onTerminated(id, terminal);
        }
    }

    static Map<String, Object> record(String id) {
        return Records.job(new JobRecord(TestJob.named(id).imageGb(0.5).build(), JobState.LIVE, 0));
    }

    // ---- users

    private static byte[] body(String id, String team, double cpus, boolean complete) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("id", id);
        fields.put("herd", "c");
        fields.put("crew", team);
        fields.put("shape", "array");
        fields.put("rank", "high");
        fields.put("chores", 1);
        fields.put("cpus", cpus);
        fields.put("gpus", 0.0);
        fields.put("ram_gb", 1.0);
        fields.put("seed", "img");
        fields.put("image_gb", 0.5);
        fields.put("same_place", false);
        fields.put("apart", false);
        fields.put("windfall", true);
        fields.put("guess_s", 10.0);
        fields.put("pin_s", 0.0);
        if (complete) {
            fields.put("stash_s", 0.0);
        }
        return Cbor.write(fields);
    }

    /** Sends a request to one controller, and checks its answer against the answers that came before the request. */
    void request(
            ScriptedController controller, String method, String path, byte[] body, String id, Consumer<Reply> then) {
        AnswerHistory.KnownState before = history.knownState(id);
        String request = method + " " + path + " at " + controller.name + ", " + now;
        if (before.progress() != AnswerHistory.Progress.NOTHING && controller.replica.revision() < state.revision()) {
            countOccurrence("request at a stale replica");
        }
        boolean[] answered = new boolean[1];
        controller.jobApi.handle(method, path, body, reply -> {
            if (answered[0]) {
                violations.add(request + " answered twice");
            }
            answered[0] = true;
            at(networkDelay(), () -> {
                history.check(id, before, request, reply);
                then.accept(reply);
            });
        });
    }

    ScriptedController anyController() {
        return controllers.get(random.nextInt(controllers.size()));
    }

    /** Submits a job until the answer is final, and sends a burst of requests for it after each new state. */
    void submit(String id, String team, double cpus) {
        request(anyController(), "POST", JobApi.PATH, body(id, team, cpus, true), id, reply -> {
            if (reply.status() == 422 || reply.status() == 400) {
                history.refuse(id);
            } else if (reply.status() == 503) {
                at(1000, () -> submit(id, team, cpus));
            } else {
                countOccurrence("accepted");
                sendBurst(id);
                if (random.nextInt(3) == 0) {
                    countOccurrence("cancelled at once");
                    cancel(id);
                }
                at(random.nextInt(2000), () -> poll(id));
            }
        });
    }

    void cancel(String id) {
        history.requestCancel(id);
        boolean known = history.isKnown(id);
        request(anyController(), "POST", path(id) + "/cancel", null, id, reply -> {
            if (reply.status() == 503) {
                at(1000, () -> cancel(id));
            } else if (reply.status() == 200) {
                countOccurrence("cancellation answered " + AnswerHistory.stateOf(reply));
                sendBurst(id);
            } else if (known) {
                violations.add("cancel of " + id + " answered " + reply.status());
            }
        });
    }

    void poll(String id) {
        request(anyController(), "GET", path(id), null, id, reply -> {
            if (reply.status() == 200 && !AnswerHistory.stateOf(reply).equals("pending")) {
                countOccurrence("poll answered " + AnswerHistory.stateOf(reply));
                sendBurst(id);
            } else {
                at(300 + random.nextInt(600), () -> poll(id));
            }
        });
    }

    /** Looks up a job that is never submitted. */
    void lookUpNeverSubmitted() {
        request(anyController(), "GET", path(NEVER_SUBMITTED), null, NEVER_SUBMITTED, reply -> {});
    }

    private static String path(String id) {
        return JobApi.PATH + "/" + id;
    }

    /** Looks the job up and repeats its submission, also with other bodies, at all controllers within milliseconds. */
    private void sendBurst(String id) {
        for (ScriptedController controller : controllers) {
            for (int i = 0; i < 3; i++) {
                at(random.nextInt(12), () -> {
                    countOccurrence("burst request");
                    sendOneOfBurst(controller, id);
                });
            }
        }
    }

    private void sendOneOfBurst(ScriptedController controller, String id) {
        Consumer<Reply> ignored = reply -> {};
        switch (random.nextInt(4)) {
            case 0 -> request(controller, "POST", JobApi.PATH, body(id, "red", 2, true), id, ignored);
            case 1 ->
                request(controller, "POST", JobApi.PATH, body(id, "nobody", 99, random.nextBoolean()), id, ignored);
            default -> request(controller, "GET", path(id), null, id, ignored);
        }
    }

    /** Runs on without faults, then checks that every accepted job is known and that no refused job is stored. */
    void settle() {
        answerLost = 0;
        late = 0;
        repeated = 0;
        run(now + 60_000);
        for (String id : history.knownJobs()) {
            boolean[] known = new boolean[1];
            request(anyController(), "GET", path(id), null, id, reply -> known[0] = reply.status() == 200);
            run(now + 3000);
            if (!known[0]) {
                violations.add("forgotten: " + id);
            }
        }
        history.refusedJobs().forEach(id -> {
            if (state.get(Keys.job(id)) != null || state.get(Keys.terminalJob(id)) != null) {
                violations.add("refused and stored: " + id);
            }
        });
    }
}
