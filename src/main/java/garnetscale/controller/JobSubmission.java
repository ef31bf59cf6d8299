package garnetscale.controller;

import com.fasterxml.jackson.core.JacksonException;
import garnetscale.core.SchedulerConfig;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.machine.MachineType;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.state.TransactionOutcome;
import garnetscale.net.HttpStatus;
import garnetscale.net.Reply;
import garnetscale.wire.Cbor;
import garnetscale.wire.UserCodec;
import java.io.IOException;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts new jobs. Submissions are idempotent by job id: a repeat is answered with the state of the job, even if the rest of its
 * body differs. Confined to the event loop.
 */
final class JobSubmission {

    private static final Logger LOG = LoggerFactory.getLogger(JobSubmission.class);

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final JobApi.Store store;
    private final RequestAdmission admission;
    private final JobLookup lookup;

    JobSubmission(
            SchedulerConfig config,
            StateReplica replica,
            JobApi.Store store,
            RequestAdmission admission,
            JobLookup lookup) {
        this.config = config;
        this.replica = replica;
        this.store = store;
        this.admission = admission;
        this.lookup = lookup;
    }

    /** Stores a new job, or answers with the job's state if its id is known. */
    @SuppressWarnings("IllegalCatch") // A malformed body is answered with 400, whichever exception it causes.
    void submit(byte[] body, Consumer<Reply> answer) {
        Map<?, ?> fields;
        String id;
        try {
            fields = Cbor.readMap(body);
            id = UserCodec.id(fields);
        } catch (IOException | RuntimeException e) {
            answer.accept(malformed(e));
            return;
        }
        if (!admission.admits(RequestAdmission.FULL_SHARE)) {
            answer.accept(JobReplies.stateServiceUnavailable());
        } else if (lookup.isKnown(id)) {
            lookup.replyForAccepted(id, answer);
        } else {
            submitUnknown(id, fields, answer);
        }
    }

    @SuppressWarnings("IllegalCatch") // A malformed body is answered with 400, whichever exception it causes.
    private void submitUnknown(String id, Map<?, ?> fields, Consumer<Reply> answer) {
        JobSpec spec;
        Reply rejection;
        try {
            spec = UserCodec.job(fields);
            rejection = validate(spec);
        } catch (IOException | RuntimeException e) {
            spec = null;
            rejection = malformed(e);
        }
        if (rejection != null) {
            rejectUnlessAccepted(id, rejection, answer);
            return;
        }
        Map<String, Object> record = Records.job(new JobRecord(spec, JobState.LIVE, System.currentTimeMillis()));
        if (Cbor.write(record).length > config.maxValueBytes()) {
            answer.accept(JobReplies.error(HttpStatus.BAD_REQUEST, "too long"));
            return;
        }
        store(spec, record, answer);
    }

    /** Rejects a submission, unless a job of this id was accepted: an invalid repeat is answered with the job's state. */
    private void rejectUnlessAccepted(String id, Reply rejection, Consumer<Reply> answer) {
        lookup.lookUp(
                id,
                result -> answer.accept(result == JobLookup.Missing.ABSENT ? rejection : JobLookup.replyOf(result)));
    }

    private void store(JobSpec spec, Map<String, Object> record, Consumer<Reply> answer) {
        String id = spec.id();
        Transaction transaction = new Transaction()
                .guard(Keys.job(id), 0)
                .guard(Keys.terminalJob(id), 0)
                .put(Keys.job(id), record);
        admission.begin();
        store.submit(transaction, (outcome, revision) -> {
            admission.end();
            onStored(spec, outcome, answer);
        });
    }

    private void onStored(JobSpec spec, TransactionOutcome outcome, Consumer<Reply> answer) {
        String id = spec.id();
        switch (outcome) {
            case OK -> {
                LOG.debug(
                        "job accepted, job={} tasks={} team={} class={}",
                        id,
                        spec.tasks(),
                        spec.team(),
                        spec.jobClass());
                answer.accept(JobReplies.created(id, spec.team()));
            }
            case CONFLICT -> lookup.replyForAccepted(id, answer);
            case UNKNOWN ->
                lookup.lookUp(
                        id,
                        result -> answer.accept(
                                result instanceof JobLookup.Found found
                                        ? found.reply()
                                        : JobReplies.retryLater("not sure yet")));
            default -> answer.accept(JobReplies.notStored());
        }
    }

    private static Reply malformed(Exception exception) {
        String message = exception instanceof JacksonException jackson
                ? "not CBOR: " + jackson.getOriginalMessage()
                : exception.getMessage();
        return JobReplies.error(HttpStatus.BAD_REQUEST, message == null ? "malformed" : message);
    }

    /** Returns null if the job can run at some time, 422 if it never can, or 503 while the machine types aren't known. */
    private Reply validate(JobSpec spec) {
        SchedulerConfig.Team team = config.teams().get(spec.team());
        if (team == null) {
            return JobReplies.error(HttpStatus.UNPROCESSABLE, "unknown team " + spec.team());
        }
        if (replica.types().isEmpty()) {
            return JobReplies.retryLater("machine types not known yet");
        }
        if (!fitsAnyType(spec)) {
            return JobReplies.error(HttpStatus.UNPROCESSABLE, "a task fits no allowed machine type and zone");
        }
        if (spec.cpus() > team.cpusMax() || spec.gpus() > team.gpusMax()) {
            return JobReplies.error(
                    HttpStatus.UNPROCESSABLE, "a task needs more than the limit of team " + spec.team());
        }
        return null;
    }

    private boolean fitsAnyType(JobSpec spec) {
        for (MachineType type : replica.types()) {
            if (type.fits(spec) && (spec.zone() == null || type.zones().contains(spec.zone()))) {
                return true;
            }
        }
        return false;
    }
}
