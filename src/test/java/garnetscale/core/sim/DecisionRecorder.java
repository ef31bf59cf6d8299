package garnetscale.core.sim;

import garnetscale.core.bidding.Bid;
import garnetscale.core.bidding.BidBatch;
import garnetscale.core.job.TaskId;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.machine.WorkerCommand;
import garnetscale.core.partition.HeartbeatReply;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.partition.OwnerEffect;
import garnetscale.core.state.Transaction;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Writes each decision as one line of text and computes the SHA-256 digest of all lines.
 *
 * <p>The text doesn't depend on Java names: every line consists of fixed tags and of the values of the fields, one by one. Enums
 * are written by ordinal, maps with their keys sorted, and strings with their length, so that two different decisions never have
 * the same text. Renaming types, methods or fields leaves the digest as it is. The tags must never change, because a new digest
 * would no longer match that of an earlier version.
 */
final class DecisionRecorder implements DecisionObserver {

    private final MessageDigest digest = sha256();
    private final Consumer<String> lineListener;
    private final StringBuilder line = new StringBuilder();
    private long transactionCount;
    private long effectCount;
    private long replyCount;

    /** Creates a recorder that also passes each line, without its line break, to a listener. */
    DecisionRecorder(Consumer<String> lineListener) {
        this.lineListener = lineListener;
    }

    long transactionCount() {
        return transactionCount;
    }

    long effectCount() {
        return effectCount;
    }

    long replyCount() {
        return replyCount;
    }

    /** Returns the digest of all decisions so far in hexadecimal, and resets it. */
    String finish() {
        return HexFormat.of().formatHex(digest.digest());
    }

    @Override
    public void onTransaction(long now, String node, Transaction transaction) {
        transactionCount++;
        begin("transaction", now, node);
        for (Map.Entry<String, Long> guard : new TreeMap<>(transaction.guards()).entrySet()) {
            tag("guard").value(guard.getKey()).value(guard.getValue());
        }
        for (Transaction.Op operation : transaction.ops()) {
            tag(operation.value() == null ? "delete" : "put").value(operation.key());
            value(operation.value()).value(operation.lease());
        }
        end();
    }

    @Override
    public void onEffect(long now, String node, OwnerEffect effect) {
        effectCount++;
        begin("effect", now, node);
        if (effect instanceof OwnerEffect.SendCommands send) {
            tag("command").value(send.machine()).value(send.address());
            value(send.fencingToken()).value(send.agentEpoch()).commands(send.commands());
        } else if (effect instanceof OwnerEffect.ProbeWorker probe) {
            tag("probe").value(probe.machine()).value(probe.address());
        } else if (effect instanceof OwnerEffect.PublishStatus publish) {
            tag("tell").machineStatus(publish.machineStatus());
        } else if (effect instanceof OwnerEffect.SubmitBids submit) {
            tag("offer").batch(submit.batch());
        } else {
            throw new IllegalArgumentException("unknown effect: " + effect);
        }
        end();
    }

    @Override
    public void onReply(long now, String node, String machine, HeartbeatReply reply) {
        replyCount++;
        begin("reply", now, node);
        value(machine);
        if (reply instanceof HeartbeatReply.Acknowledge acknowledged) {
            tag("answer").value(acknowledged.fencingToken()).commands(acknowledged.commands());
        } else if (reply instanceof HeartbeatReply.Redirect redirect) {
            tag("redirect").value(redirect.node());
        } else if (reply instanceof HeartbeatReply.Reject rejected) {
            tag("refuse").value(rejected.reason());
        } else {
            throw new IllegalArgumentException("unknown reply: " + reply);
        }
        end();
    }

    private void commands(List<WorkerCommand> commands) {
        for (WorkerCommand command : commands) {
            if (command instanceof WorkerCommand.Start start) {
                tag("start").task(start.task()).value(start.attempt());
            } else if (command instanceof WorkerCommand.Stop stop) {
                tag("stop").task(stop.task()).value(stop.attempt()).value(stop.graceS());
            } else if (command instanceof WorkerCommand.Clear clear) {
                tag("clear").task(clear.task()).value(clear.attempt());
            } else {
                throw new IllegalArgumentException("unknown command: " + command);
            }
        }
    }

    private void machineStatus(MachineStatus machineStatus) {
        value(machineStatus.node()).value(machineStatus.incarnation());
        value(machineStatus.partition()).value(machineStatus.term());
        value(machineStatus.machine()).value(machineStatus.address());
        value(machineStatus.type()).value(machineStatus.zone()).value(machineStatus.spot());
        value(machineStatus.agentEpoch()).value(machineStatus.evictionNoticeS()).value(machineStatus.silent());
        for (TaskStatus status : machineStatus.tasks()) {
            tag("task").task(status.task()).value(status.attempt());
            ordinal(status.state()).ordinal(status.cause()).value(status.checkpointed());
        }
        tag("gone").value(machineStatus.terminated());
    }

    private void batch(BidBatch batch) {
        value(batch.node()).value(batch.incarnation()).value(batch.revision()).value(batch.terms());
        for (Bid bid : batch.bids()) {
            tag("bid").value(bid.machine()).value(bid.agentEpoch()).value(bid.job());
            value(bid.slots()).value(bid.finishS());
        }
    }

    private DecisionRecorder task(TaskId task) {
        return value(task.job()).value(task.index());
    }

    private DecisionRecorder ordinal(Enum<?> constant) {
        return value(constant == null ? null : constant.ordinal());
    }

    private DecisionRecorder tag(String tag) {
        line.append(' ').append(tag);
        return this;
    }

    /** Appends a value of the kinds that the state service stores: maps, lists, strings, numbers, booleans and null. */
    private DecisionRecorder value(Object value) {
        line.append(' ');
        if (value == null) {
            line.append("null");
        } else if (value instanceof String text) {
            line.append(text.length()).append(':').append(text);
        } else if (value instanceof Integer || value instanceof Long || value instanceof Double) {
            line.append(value);
        } else if (value instanceof Boolean) {
            line.append(value);
        } else if (value instanceof List<?> list) {
            line.append('[');
            list.forEach(this::value);
            line.append(" ]");
        } else if (value instanceof Map<?, ?> map) {
            map(map);
        } else {
            throw new IllegalArgumentException("value of an unsupported type: " + value);
        }
        return this;
    }

    private void map(Map<?, ?> map) {
        Map<String, Object> sorted = new TreeMap<>();
        map.forEach((key, value) -> sorted.put((String) key, value));
        line.append('{');
        sorted.forEach((key, value) -> value(key).value(value));
        line.append(" }");
    }

    private void begin(String kind, long now, String node) {
        line.setLength(0);
        line.append(kind);
        value(now).value(node);
    }

    private void end() {
        String text = line.toString();
        digest.update(text.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) '\n');
        lineListener.accept(text);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
