package garnetscale.wire;

import garnetscale.core.job.TaskId;
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.TaskState;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.machine.WorkerCommand;
import garnetscale.core.machine.WorkerHeartbeat;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Decodes workers' heartbeats, and encodes the answers to them and commands to workers (PROTOCOL, "Workers"). */
public final class WorkerCodec {

    private WorkerCodec() {}

    /**
     * Decodes a heartbeat. A task state that the protocol doesn't define is decoded as {@code UNKNOWN}, an undefined or missing
     * exit cause as {@code OTHER}, and a missing fencing token as 0.
     *
     * @throws IOException if a field is missing or malformed; the message names the field
     */
    public static WorkerHeartbeat heartbeat(byte[] body) throws IOException {
        Fields fields = new Fields(Cbor.readMap(body));
        List<TaskStatus> tasks = new ArrayList<>();
        for (Object item : fields.list("chores")) {
            Fields task = Fields.of(item, "chore");
            TaskId id = TaskId.parse(task.text("chore"));
            if (id == null) {
                throw new IOException("chore is not job/number");
            }
            TaskState state = state(task.text("mood"));
            tasks.add(new TaskStatus(
                    id,
                    task.integer("try"),
                    state,
                    state == TaskState.EXITED ? cause(task.textOrNull("cause")) : null,
                    task.flagOrFalse("saved")));
        }
        return new WorkerHeartbeat(
                fields.text("hive"),
                fields.text("address"),
                fields.text("breed"),
                fields.text("field"),
                fields.flagOrFalse("windfall"),
                fields.integer("shift"),
                fields.integer("tick"),
                fields.integerOrDefault("baton", 0),
                fields.amountOrNull("warning_s"),
                List.copyOf(tasks));
    }

    private static TaskState state(String value) {
        return switch (value) {
            case "fetching" -> TaskState.FETCHING;
            case "running" -> TaskState.RUNNING;
            case "saving" -> TaskState.CHECKPOINTING;
            case "exited" -> TaskState.EXITED;
            default -> TaskState.UNKNOWN;
        };
    }

    private static ExitCause cause(String value) {
        return switch (value == null ? "" : value) {
            case "done" -> ExitCause.DONE;
            case "halted" -> ExitCause.STOPPED;
            case "error" -> ExitCause.ERROR;
            case "full" -> ExitCause.NO_ROOM;
            case "in_use" -> ExitCause.BUSY;
            case "no_such" -> ExitCause.UNKNOWN_TASK;
            default -> ExitCause.OTHER;
        };
    }

    /** Encodes the answer to an accepted heartbeat. */
    public static byte[] answer(long fencingToken, List<WorkerCommand> commands) {
        return Cbor.write(Map.of("baton", fencingToken, "orders", commands(commands)));
    }

    /**
     * Encodes commands sent directly to a worker, rather than in the answer to a heartbeat.
     *
     * @param agentEpoch the agent epoch of the worker's newest heartbeat
     */
    public static byte[] commands(long fencingToken, long agentEpoch, List<WorkerCommand> commands) {
        return Cbor.write(Map.of("baton", fencingToken, "shift", agentEpoch, "orders", commands(commands)));
    }

    /**
     * Encodes an answer that redirects a heartbeat to another controller.
     *
     * @param node the other controller's name; null if no such controller is known
     */
    public static byte[] redirect(String node) {
        return Cbor.write(node == null ? Map.of() : Map.of("steward", node));
    }

    private static List<Object> commands(List<WorkerCommand> commands) {
        List<Object> rows = new ArrayList<>(commands.size());
        for (WorkerCommand command : commands) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("verb", verb(command));
            row.put("chore", command.task().toString());
            row.put("try", command.attempt());
            if (command instanceof WorkerCommand.Stop stop) {
                row.put("mercy_s", stop.graceS());
            }
            rows.add(row);
        }
        return rows;
    }

    private static String verb(WorkerCommand command) {
        if (command instanceof WorkerCommand.Start) {
            return "start";
        }
        return command instanceof WorkerCommand.Stop ? "halt" : "clear";
    }
}
