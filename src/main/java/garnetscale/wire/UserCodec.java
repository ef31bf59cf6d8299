package garnetscale.wire;

import garnetscale.core.job.JobSpec;
import garnetscale.core.job.Priority;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Decodes what users submit and encodes what they are answered (PROTOCOL, "Users"). Only here and in the other codecs stand
 * the words of the protocol.
 */
public final class UserCodec {

    /** The most tasks that one job may have. */
    public static final int MAX_TASKS = 100_000;

    private static final int MAX_TEXT = 200;
    private static final Pattern ID = Pattern.compile("wk-[0-9]{1,18}");

    /**
     * The state of a job as its user is told.
     *
     * @param reason null unless tasks wait, were stopped, or the request was rejected
     */
    public record Answer(String id, String state, int done, int running, String team, String reason) {}

    private UserCodec() {}

    /** Whether a text has the form of a job id. */
    public static boolean isId(String id) {
        return ID.matcher(id).matches();
    }

    /**
     * Decodes the id of a submission alone: a job that is known already is answered whatever else its body says.
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
     * @throws IOException if a field is missing or malformed; the message names it
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
        long tasks = fields.whole("chores");
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
                fields.textsOrNull("breeds"),
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
        if (text.isEmpty() || text.length() > MAX_TEXT) {
            throw new IOException(name + " is empty or longer than " + MAX_TEXT);
        }
        return text;
    }

    /** Encodes the state of a job. */
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

    /** Encodes an error with its reason. */
    public static byte[] error(String reason) {
        return Cbor.write(Map.of("error", reason));
    }
}
