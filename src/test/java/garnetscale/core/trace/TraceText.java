package garnetscale.core.trace;

import garnetscale.core.machine.TaskStatus;
import garnetscale.core.machine.WorkerCommand;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Formats messages and stored values for traces. */
final class TraceText {

    /** Bit mask of an attempt's number within the leader's term; the higher bits are the term. */
    private static final long ATTEMPT_NUMBER_MASK = 0xffffff;

    private TraceText() {}

    /**
     * Formats a fencing token as the leader's term, the number of the partition's term within it, and the number of the machine's
     * token within the partition's term.
     */
    static String fencingToken(long fencingToken) {
        long term = fencingToken >> 20;
        return "(term " + (term >> 20) + "." + (term & 0xfffff) + " token " + (fencingToken & 0xfffff) + ")";
    }

    /** Formats commands with their tasks, and attempts by their number within the term. */
    static String commands(List<WorkerCommand> commands) {
        List<String> list = new ArrayList<>();
        for (WorkerCommand command : commands) {
            list.add(command.getClass().getSimpleName().toLowerCase(Locale.ROOT) + " " + command.task() + "#"
                    + (command.attempt() & ATTEMPT_NUMBER_MASK));
        }
        return list.toString();
    }

    /** Formats tasks with their states, and exited tasks with their exit causes. */
    static String tasks(List<TaskStatus> tasks) {
        List<String> list = new ArrayList<>();
        for (TaskStatus status : tasks) {
            list.add(status.task() + "#" + (status.attempt() & ATTEMPT_NUMBER_MASK) + " "
                    + (status.exited() ? status.cause() : status.state()));
        }
        return list.toString();
    }

    /** Formats a stored value, and attempts in it by their number within the term. */
    static String text(Object value) {
        if (value instanceof Map<?, ?> map) {
            List<String> list = new ArrayList<>();
            new TreeMap<>(map).forEach((key, part) -> list.add(key + ":" + text(part)));
            return String.join(" ", list);
        }
        if (value instanceof List<?> elements) {
            return elements.stream().map(TraceText::text).toList().toString();
        }
        return value instanceof Long number && number > ATTEMPT_NUMBER_MASK
                ? "#" + (number & ATTEMPT_NUMBER_MASK)
                : String.valueOf(value);
    }
}
