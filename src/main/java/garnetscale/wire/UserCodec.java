package garnetscale.wire;

import garnetscale.core.job.JobSpec;
import garnetscale.core.job.Priority;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Decodes users' submissions and encodes the answers to users (PROTOCOL, "Users"). In a serving controller, the protocol's field
 * names appear only in this and the other codecs; {@code emulator} and {@code cli.LoopbackDemo}, which stand in for the outside,
 * use them too.
 */
public final class UserCodec {

    /** Maximum number of tasks in a job. */
    public static final int MAX_TASKS = 100_000;

    private static final int MAX_TEXT_LENGTH = 200;
    private static final Pattern ID_PATTERN = Pattern.compile("wk-[0-9]{1,18}");

    /**
     * The answer to a user's request, with the state of a job.
     *
     * @param id      the job's id
     * @param state   the protocol's name of the job's state
     * @param done    number of finished tasks
     * @param running number of placed tasks
     * @param team    the job's team; null to leave it out of the answer
     * @param reason  why tasks wait or were stopped, or why the request was rejected; null to leave it out of the answer
     */
    public record Answer(String id, String state, int done, int running, String team, String reason) {}

    private UserCodec() {}

    /** Returns whether a text is a well-formed job id. */
    public static boolean isId(String id) {
        return ID_PATTERN.matcher(id).matches();
    }

    /**
     * Decodes only the id of a submission, since a submission with a known id is answered regardless of its other fields.
     *
     * @throws IOException if the id is missing or malformed
     */
    public static String id(Map<?, ?> body) throws IOException {
        String id = new Fields(body).text("id");
        if (!isId(id)) {
            throw new IOException("id has not the form wk-000000");
        }
        return id;
    }

    /**
     * Decodes a submission.
     *
     * @throws IOException if a field is missing or malformed; the message names the field
     */
    public static JobSpec job(Map<?, ?> body) throws IOException {
        Fields fields = new Fields(body);
        String id = id(body);
        if (!fields.text("shape").equals("array")) {
            throw new IOException("shape is not array");
        }
        Priority priority =
                switch (fields.text("rank")) {
                    case "critical" -> Priority.CRITICAL;
                    case "high" -> Priority.HIGH;
                    case "standard" -> Priority.NORMAL;
                    case "low" -> Priority.LOW;
                    default -> throw new IOException("rank is not critical, high, standard or low");
                };
        long tasks = fields.integer("chores");
        if (tasks < 1 || tasks > MAX_TASKS) {
            throw new IOException("chores is not from 1 to " + MAX_TASKS);
        }
        return new JobSpec(
                id,
                text(fields, "herd"),
                text(fields, "crew"),
                priority,
                (int) tasks,
                fields.amount("cpus"),
                fields.amount("gpus"),
                fields.amount("ram_gb"),
                fields.textListOrNull("breeds"),
                fields.textOrNull("field"),
                fields.flag("same_place"),
                fields.flag("apart"),
                fields.flag("windfall"),
                text(fields, "seed"),
                fields.amount("image_gb"),
                fields.amount("guess_s"),
                fields.amount("pin_s"),
                fields.amount("stash_s"),
                fields.amountOrNull("due_s"));
    }

    private static String text(Fields fields, String name) throws IOException {
        String text = fields.text(name);
        if (text.isEmpty() || text.length() > MAX_TEXT_LENGTH) {
            throw new IOException(name + " is empty or longer than " + MAX_TEXT_LENGTH);
        }
        return text;
    }

    /** Encodes an answer with the state of a job. */
    public static byte[] answer(Answer answer) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("id", answer.id());
        body.put("mood", answer.state());
        body.put("done", answer.done());
        body.put("running", answer.running());
        if (answer.team() != null) {
            body.put("crew", answer.team());
        }
        if (answer.reason() != null) {
            body.put("cause", answer.reason());
        }
        return Cbor.write(body);
    }

    /** Encodes an error answer. */
    public static byte[] error(String reason) {
        return Cbor.write(Map.of("error", reason));
    }
}
