package garnetscale.wire;

import garnetscale.core.job.JobSpec;
import garnetscale.core.job.Priority;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;

/** What users send and get. Only here and in the other codecs stand the wire's own words. */
public final class UserCodec {

    public static final int MAX_TASKS = 100_000;
    private static final int MAX_TEXT = 200;
    private static final Pattern ID = Pattern.compile("wk-[0-9]{1,18}");

    /** What a user is told of a job; {@code reason} is null unless work waits, was stopped or is refused. */
    public record Answer(String id, String state, int done, int running, String team, String reason) {}

    private UserCodec() {}

    public static boolean isId(String id) {
        return ID.matcher(id).matches();
    }

    /** The id of a submission alone; a known job is answered whatever else its body says. */
    public static String id(Map<?, ?> body) throws IOException {
        String id = new Fields(body).text("id");
        if (!isId(id)) {
            throw new IOException("id has not the form wk-000000");
        }
        return id;
    }

    public static JobSpec job(Map<?, ?> body) throws IOException {
        Fields f = new Fields(body);
        String id = id(body);
        if (!f.text("shape").equals("array")) {
            throw new IOException("shape is not array");
        }
        Priority priority =
                switch (f.text("rank")) {
                    case "critical" -> Priority.CRITICAL;
                    case "high" -> Priority.HIGH;
                    case "standard" -> Priority.NORMAL;
                    case "low" -> Priority.LOW;
                    default -> throw new IOException("rank is not critical, high, standard or low");
                };
        long tasks = f.whole("chores");
        if (tasks < 1 || tasks > MAX_TASKS) {
            throw new IOException("chores is not from 1 to " + MAX_TASKS);
        }
        return new JobSpec(
                id,
                text(f, "herd"),
                text(f, "crew"),
                priority,
                (int) tasks,
                f.amount("cpus"),
                f.amount("gpus"),
                f.amount("ram_gb"),
                f.textsOrNull("breeds"),
                f.textOrNull("field"),
                f.flag("same_place"),
                f.flag("apart"),
                f.flag("windfall"),
                text(f, "seed"),
                f.amount("image_gb"),
                f.amount("guess_s"),
                f.amount("pin_s"),
                f.amount("stash_s"),
                f.amountOrNull("due_s"));
    }

    private static String text(Fields f, String name) throws IOException {
        String s = f.text(name);
        if (s.isEmpty() || s.length() > MAX_TEXT) {
            throw new IOException(name + " is empty or longer than " + MAX_TEXT);
        }
        return s;
    }

    public static byte[] answer(Answer a) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("id", a.id());
        m.put("mood", a.state());
        m.put("done", a.done());
        m.put("running", a.running());
        if (a.team() != null) {
            m.put("crew", a.team());
        }
        if (a.reason() != null) {
            m.put("cause", a.reason());
        }
        return Cbor.write(m);
    }

    public static byte[] error(String reason) {
        return Cbor.write(Map.of("error", reason));
    }
}
