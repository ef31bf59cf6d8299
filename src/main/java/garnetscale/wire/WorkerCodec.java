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

/** Reports and commands. */
public final class WorkerCodec {

    private WorkerCodec() {}

    public static WorkerHeartbeat heartbeat(byte[] body) throws IOException {
        Fields f = new Fields(Cbor.readMap(body));
        List<TaskStatus> tasks = new ArrayList<>();
        for (Object o : f.list("chores")) {
            Fields t = Fields.of(o, "chore");
            TaskId id = TaskId.parse(t.text("chore"));
            if (id == null) {
                throw new IOException("chore is not job/number");
            }
            TaskState state = state(t.text("mood"));
            tasks.add(new TaskStatus(
                    id,
                    t.whole("try"),
                    state,
                    state == TaskState.EXITED ? cause(t.textOrNull("cause")) : null,
                    t.flagOrFalse("saved")));
        }
        return new WorkerHeartbeat(
                f.text("hive"),
                f.text("address"),
                f.text("breed"),
                f.text("field"),
                f.flagOrFalse("windfall"),
                f.whole("shift"),
                f.whole("tick"),
                f.wholeOr("baton", 0),
                f.amountOrNull("warning_s"),
                List.copyOf(tasks));
    }

    private static TaskState state(String s) {
        return switch (s) {
            case "fetching" -> TaskState.FETCHING;
            case "running" -> TaskState.RUNNING;
            case "saving" -> TaskState.CHECKPOINTING;
            case "exited" -> TaskState.EXITED;
            default -> TaskState.UNKNOWN;
        };
    }

    private static ExitCause cause(String s) {
        return switch (s == null ? "" : s) {
            case "done" -> ExitCause.DONE;
            case "halted" -> ExitCause.STOPPED;
            case "error" -> ExitCause.ERROR;
            case "full" -> ExitCause.NO_ROOM;
            case "in_use" -> ExitCause.BUSY;
            case "no_such" -> ExitCause.UNKNOWN_TASK;
            default -> ExitCause.OTHER;
        };
    }

    /** The answer to a report. */
    public static byte[] answer(long fencingToken, List<WorkerCommand> commands) {
        return Cbor.write(Map.of("baton", fencingToken, "orders", commands(commands)));
    }

    /** A direct command. */
    public static byte[] commands(long fencingToken, long agentEpoch, List<WorkerCommand> commands) {
        return Cbor.write(Map.of("baton", fencingToken, "shift", agentEpoch, "orders", commands(commands)));
    }

    public static byte[] redirect(String node) {
        return Cbor.write(node == null ? Map.of() : Map.of("steward", node));
    }

    private static List<Object> commands(List<WorkerCommand> commands) {
        List<Object> list = new ArrayList<>(commands.size());
        for (WorkerCommand o : commands) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put(
                    "verb",
                    o instanceof WorkerCommand.Start ? "start" : o instanceof WorkerCommand.Stop ? "halt" : "clear");
            m.put("chore", o.task().toString());
            m.put("try", o.attempt());
            if (o instanceof WorkerCommand.Stop s) {
                m.put("mercy_s", s.graceS());
            }
            list.add(m);
        }
        return list;
    }
}
