package garnetscale.controller;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.machine.MachineType;
import garnetscale.core.state.JobView;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.state.TransactionOutcome;
import garnetscale.net.Reply;
import garnetscale.wire.Cbor;
import garnetscale.wire.UserCodec;
import java.io.IOException;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves users. No answer is older than one that any node has given: what is not final is answered only from a
 * replica that was brought up to date after the request came, and what can't be is refused at once with 503.
 */
final class JobApi {

    private static final Logger LOG = LoggerFactory.getLogger(JobApi.class);
    /** The part of its sockets that may be users' who wait for the state service; more would only be answered late. */
    private static final int WAITING = 8;

    private static final double QUESTIONS = 0.75;

    /** The state service as users' requests need it. */
    interface Store extends TerminalJobIndex.Store {
        /** Whether it refuses or doesn't answer, by the last requests. */
        boolean failing();

        /** Calls back once the replica is as new as a request sent after this call; false when it can't be. */
        void sync(Consumer<Boolean> done);

        /** Sends a transaction, or refuses it at once when the limits are used up. */
        void submit(Transaction transaction, BiConsumer<TransactionOutcome, Long> done);
    }

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final Store state;
    private final Function<JobView, String> reason;
    private final Consumer<String> cancelled;
    private int waiting;
    private final TerminalJobIndex terminalJobs;

    JobApi(
            SchedulerConfig config,
            StateReplica replica,
            Store state,
            Function<JobView, String> reason,
            Consumer<String> cancelled) {
        this.config = config;
        this.replica = replica;
        this.state = state;
        this.terminalJobs = new TerminalJobIndex(config.transactionOps(), config.endsRemembered(), state);
        this.reason = reason;
        this.cancelled = cancelled;
    }

    /** Handles a path below /v2/runs. */
    void handle(String method, String path, byte[] body, Consumer<Reply> answer) {
        String rest = path.substring("/v2/runs".length());
        if (rest.isEmpty() || rest.equals("/")) {
            if (method.equals("POST")) {
                submit(body, answer);
            } else {
                answer.accept(error(405, "only POST"));
            }
            return;
        }
        String id = rest.substring(1);
        boolean cancel = id.endsWith("/cancel");
        if (cancel) {
            id = id.substring(0, id.length() - "/cancel".length());
        }
        if (!UserCodec.isId(id)) {
            answer.accept(error(404, "no such job"));
        } else if (!method.equals(cancel ? "POST" : "GET")) {
            answer.accept(error(405, cancel ? "only POST" : "only GET"));
        } else if (cancel) {
            cancel(id, 0, answer);
        } else {
            poll(id, false, answer);
        }
    }

    /** Whether the part of those who may wait is used up; questions leave some of it to submissions and cancellations. */
    private boolean crowded(double part) {
        return waiting > part * Math.max(WAITING, config.maxConnections() / WAITING);
    }

    private static Reply error(int status, String reason) {
        return Reply.of(status, UserCodec.error(reason));
    }

    private static Reply later(String reason) {
        return new Reply(503, UserCodec.error(reason), 1);
    }

    private void submit(byte[] body, Consumer<Reply> answer) {
        Map<?, ?> map;
        String id;
        try {
            map = Cbor.readMap(body);
            id = UserCodec.id(map);
        } catch (IOException | RuntimeException e) {
            answer.accept(error(400, reason(e)));
            return;
        }
        if (!replica.loaded() || state.failing() || crowded(1)) {
            answer.accept(later("the state service can't be asked"));
            return;
        }
        if (terminalJobs.known(id) != null || replica.job(id) != null) {
            poll(id, true, answer);
            return;
        }
        JobSpec spec;
        Reply refusal;
        try {
            spec = UserCodec.job(map);
            refusal = check(spec);
        } catch (IOException | RuntimeException e) {
            spec = null;
            refusal = error(400, reason(e));
        }
        if (refusal != null) {
            // A job that is known is answered with its state, whatever a repeat of its submission says.
            Reply no = refusal;
            lookUp(
                    id,
                    found ->
                            answer.accept(found == null ? later("state unknown") : found.status() == 404 ? no : found));
            return;
        }
        JobRecord record = new JobRecord(spec, JobState.LIVE, System.currentTimeMillis());
        Map<String, Object> value = Records.job(record);
        if (Cbor.write(value).length > config.valueBytes()) {
            answer.accept(error(400, "too long"));
            return;
        }
        waiting++;
        Transaction transaction = new Transaction()
                .guard(Keys.job(id), 0)
                .guard(Keys.terminalJob(id), 0)
                .put(Keys.job(id), value);
        JobSpec accepted = spec;
        state.submit(transaction, (result, revision) -> {
            waiting--;
            switch (result) {
                case OK -> {
                    LOG.debug(
                            "job {} accepted: {} tasks, team {}, class {}",
                            id,
                            accepted.tasks(),
                            accepted.team(),
                            accepted.jobClass());
                    answer.accept(Reply.of(
                            201, UserCodec.answer(new UserCodec.Answer(id, "pending", 0, 0, accepted.team(), null))));
                }
                case CONFLICT -> poll(id, true, answer);
                case MAYBE ->
                    lookUp(
                            id,
                            found -> answer.accept(
                                    found == null || found.status() == 404 ? later("not sure yet") : found));
                default -> answer.accept(later("the state service can't take it"));
            }
        });
    }

    private static String reason(Exception e) {
        String m = e instanceof com.fasterxml.jackson.core.JacksonException j
                ? "not CBOR: " + j.getOriginalMessage()
                : e.getMessage();
        return m == null ? "malformed" : m;
    }

    /** Null when the job can run some time; 422 when it never can; 503 while the types aren't known. */
    private Reply check(JobSpec spec) {
        SchedulerConfig.Team team = config.teams().get(spec.team());
        if (team == null) {
            return error(422, "unknown team " + spec.team());
        }
        if (replica.types().isEmpty()) {
            return later("machine types not known yet");
        }
        boolean fits = false;
        for (MachineType t : replica.types()) {
            fits |= t.fits(spec) && (spec.zone() == null || t.zones().contains(spec.zone()));
        }
        if (!fits) {
            return error(422, "a task fits no allowed machine type and zone");
        }
        if (spec.cpus() > team.cpusMax() || spec.gpus() > team.gpusMax()) {
            return error(422, "a task needs more than the limit of team " + spec.team());
        }
        return null;
    }

    private void poll(String id, boolean known, Consumer<Reply> answer) {
        lookUp(
                id,
                found -> answer.accept(
                        found == null
                                ? later("state unknown")
                                : known && found.status() == 404 ? later("state unknown") : found));
    }

    /** The job's state from a replica newer than this call, or from the archive; null when it can't be known. */
    private void lookUp(String id, Consumer<Reply> found) {
        Records.TerminalJob known = terminalJobs.known(id);
        if (known != null) {
            found.accept(Reply.of(200, answer(id, known)));
            return;
        }
        if (!replica.loaded() || state.failing() || crowded(QUESTIONS)) {
            found.accept(null);
            return;
        }
        waiting++;
        state.sync(ok -> {
            waiting--;
            if (!ok) {
                found.accept(null);
                return;
            }
            JobView job = replica.job(id);
            if (job != null) {
                found.accept(Reply.of(200, answer(job)));
                return;
            }
            // The replica didn't hold it as of a moment after the request: it is over, or was never accepted.
            terminalJob(id, found);
        });
    }

    /** How a job that the replica doesn't hold ended; false when nobody knows now, null when it isn't there. */
    void ended(String id, BiConsumer<Boolean, Records.TerminalJob> found) {
        Records.TerminalJob known = terminalJobs.known(id);
        if (known != null) {
            found.accept(true, known);
        } else if (!replica.loaded() || state.failing() || crowded(QUESTIONS)) {
            found.accept(false, null);
        } else {
            terminalJobs.ask(id, found::accept);
        }
    }

    private void terminalJob(String id, Consumer<Reply> found) {
        waiting++;
        terminalJobs.ask(id, (sure, over) -> {
            waiting--;
            found.accept(!sure ? null : over == null ? error(404, "no such job") : Reply.of(200, answer(id, over)));
        });
    }

    /** A job has ended, by the leader's word for a transaction that it saw applied: its users needn't ask the store. */
    void over(String id, Records.TerminalJob how) {
        terminalJobs.learn(id, how);
    }

    private byte[] answer(JobView job) {
        String id = job.spec().id();
        if (job.job().state() == JobState.CANCELLED) {
            return UserCodec.answer(new UserCodec.Answer(
                    id,
                    "withdrawn",
                    job.finishedCount(),
                    job.placedCount(),
                    job.spec().team(),
                    "cancelled by its user"));
        }
        String mood = job.placedCount() > 0 ? "running" : "pending";
        return UserCodec.answer(new UserCodec.Answer(
                id, mood, job.finishedCount(), job.placedCount(), job.spec().team(), reason.apply(job)));
    }

    private static byte[] answer(String id, Records.TerminalJob a) {
        boolean done = a.state() == JobState.DONE;
        return UserCodec.answer(new UserCodec.Answer(
                id, done ? "done" : "withdrawn", a.finished(), 0, a.team(), done ? null : "cancelled by its user"));
    }

    private void cancel(String id, int tries, Consumer<Reply> answer) {
        Records.TerminalJob known = terminalJobs.known(id);
        if (known != null) {
            answer.accept(Reply.of(200, answer(id, known)));
            return;
        }
        if (!replica.loaded() || state.failing() || crowded(1) || tries > 3) {
            answer.accept(later("the state service can't be asked"));
            return;
        }
        waiting++;
        state.sync(ok -> {
            waiting--;
            JobView job = ok ? replica.job(id) : null;
            if (!ok) {
                answer.accept(later("state unknown"));
            } else if (job == null) {
                terminalJob(id, found -> answer.accept(found == null ? later("state unknown") : found));
            } else if (!job.live()) {
                answer.accept(Reply.of(200, answer(job)));
            } else {
                withdraw(job, tries, answer);
            }
        });
    }

    /** Done is written over the same key: only one of the two can win. */
    private void withdraw(JobView job, int tries, Consumer<Reply> answer) {
        String id = job.spec().id();
        Transaction transaction = new Transaction()
                .guard(Keys.job(id), job.modRevision())
                .put(Keys.job(id), Records.job(job.job().withState(JobState.CANCELLED)));
        waiting++;
        state.submit(transaction, (result, revision) -> {
            waiting--;
            switch (result) {
                case OK -> {
                    cancelled.accept(id);
                    LOG.info(
                            "job {} of team {} cancelled by its user",
                            id,
                            job.spec().team());
                    answer.accept(Reply.of(
                            200,
                            UserCodec.answer(new UserCodec.Answer(
                                    id,
                                    "withdrawn",
                                    job.finishedCount(),
                                    job.placedCount(),
                                    job.spec().team(),
                                    "cancelled by its user"))));
                }
                case CONFLICT, MAYBE -> cancel(id, tries + 1, answer);
                default -> answer.accept(later("the state service can't take it"));
            }
        });
    }
}
