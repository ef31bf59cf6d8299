package garnetscale.emulator;

import garnetscale.core.job.TaskId;
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.TaskState;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.machine.WorkerCommand;
import garnetscale.core.machine.WorkerHeartbeat;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The worker's side of the protocol with controllers: encodes heartbeats, and decodes commands. */
final class WorkerMessages {

    private WorkerMessages() {}

    static Map<String, Object> heartbeat(WorkerHeartbeat heartbeat) {
        List<Object> tasks = new ArrayList<>();
        for (TaskStatus task : heartbeat.tasks()) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("chore", task.task().toString());
            row.put("try", task.attempt());
            row.put("mood", stateName(task.state()));
            if (task.cause() != null) {
                row.put("cause", causeName(task.cause()));
            }
            tasks.add(row);
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("hive", heartbeat.machine());
        body.put("address", heartbeat.address());
        body.put("breed", heartbeat.type());
        body.put("field", heartbeat.zone());
        body.put("windfall", heartbeat.spot());
        body.put("shift", heartbeat.agentEpoch());
        body.put("tick", heartbeat.tick());
        body.put("baton", heartbeat.fencingToken());
        body.put("warning_s", null);
        body.put("chores", tasks);
        return body;
    }

    private static String stateName(TaskState state) {
        return switch (state) {
            case FETCHING -> "fetching";
            case RUNNING -> "running";
            case CHECKPOINTING -> "saving";
            case EXITED -> "exited";
            case UNKNOWN -> "unknown";
        };
    }

    private static String causeName(ExitCause cause) {
        return switch (cause) {
            case DONE -> "done";
            case STOPPED -> "halted";
            case ERROR -> "error";
            case NO_ROOM -> "full";
            case BUSY -> "in_use";
            default -> "no_such";
        };
    }

    static long fencingToken(Map<?, ?> body) {
        return ((Number) body.get("baton")).longValue();
    }

    static long agentEpoch(Map<?, ?> body) {
        return ((Number) body.get("shift")).longValue();
    }

    static List<WorkerCommand> commands(Map<?, ?> body) {
        List<WorkerCommand> commands = new ArrayList<>();
        for (Object item : (List<?>) body.get("orders")) {
            Map<?, ?> row = (Map<?, ?>) item;
            TaskId task = TaskId.parse((String) row.get("chore"));
            long attempt = ((Number) row.get("try")).longValue();
            commands.add(
                    switch ((String) row.get("verb")) {
                        case "start" -> new WorkerCommand.Start(task, attempt);
                        case "halt" ->
                            new WorkerCommand.Stop(task, attempt, ((Number) row.get("mercy_s")).doubleValue());
                        default -> new WorkerCommand.Clear(task, attempt);
                    });
        }
        return commands;
    }
}
