package garnetscale.core.trace;

import garnetscale.core.machine.TaskStatus;
import garnetscale.core.machine.WorkerCommand;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** How messages and stored values are written in traces. */
final class TraceText {

    /** An attempt's number in the leader's term; the term stands above it. */
    private static final long MAX_ATTEMPT_NUMBER = 0xffffff;

    private TraceText() {}

    /** A fencing token as the leader's term, the partition's term in it, and the machine's own number. */
    static String fencingToken(long fencingToken) {
        long term = fencingToken >> 20;
        return "(term " + (term >> 20) + "." + (term & 0xfffff) + " token " + (fencingToken & 0xfffff) + ")";
    }

    /** Commands with their tasks, and attempts cut to their number in the term. */
    static String commands(List<WorkerCommand> commands) {
        List<String> list = new ArrayList<>();
        for (WorkerCommand command : commands) {
            list.add(command.getClass().getSimpleName().toLowerCase(Locale.ROOT) + " " + command.task() + "#"
                    + (command.attempt() & MAX_ATTEMPT_NUMBER));
        }
        return list.toString();
    }

    /** Tasks with their states, or the causes of their exits. */
    static String tasks(List<TaskStatus> tasks) {
        List<String> list = new ArrayList<>();
        for (TaskStatus status : tasks) {
            list.add(status.task() + "#" + (status.attempt() & MAX_ATTEMPT_NUMBER) + " "
                    + (status.exited() ? status.cause() : status.state()));
        }
        return list.toString();
    }

    /** Stored values, with attempts cut to their number in the term. */
    static String text(Object value) {
        if (value instanceof Map<?, ?> map) {
            List<String> list = new ArrayList<>();
            new TreeMap<>(map).forEach((key, part) -> list.add(key + ":" + text(part)));
            return String.join(" ", list);
        }
        if (value instanceof List<?> elements) {
            return elements.stream().map(TraceText::text).toList().toString();
        }
        return value instanceof Long number && number > MAX_ATTEMPT_NUMBER
                ? "#" + (number & MAX_ATTEMPT_NUMBER)
                : String.valueOf(value);
    }
}
