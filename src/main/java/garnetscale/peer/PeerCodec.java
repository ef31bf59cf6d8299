package garnetscale.peer;

import garnetscale.core.bidding.Bid;
import garnetscale.core.bidding.BidBatch;
import garnetscale.core.job.JobState;
import garnetscale.core.job.TaskId;
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.MachineAddress;
import garnetscale.core.machine.TaskState;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.state.Records;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.avro.io.BinaryDecoder;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.Decoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.Encoder;
import org.apache.avro.io.EncoderFactory;

/**
 * Encodes and decodes peer messages in Avro's binary encoding by the schema {@code peer.avsc}. Not thread-safe.
 *
 * <p>This class writes and reads the fields directly, in schema order, with Avro's encoder and decoder: parsing the schema and
 * building generic records took a third of a process's start-up time and most of the cost of each message. A test checks the
 * result against the schema with Avro's generic reader and writer.
 */
public final class PeerCodec {

    /** Indexes of the messages in the schema's union; the missing indexes belong to records nested in other messages. */
    private static final int CONTROLLER_HEARTBEAT = 0;

    private static final int MACHINE_STATUS = 2;
    private static final int MACHINE_DIRECTORY = 4;
    private static final int JOB_CANCELLED = 5;
    private static final int JOB_TERMINATED = 6;
    private static final int BIDS = 8;
    private static final int OPERATOR_REQUEST = 9;
    private static final int OPERATOR_RESPONSE = 10;
    /** Indexes in the schema's union of null and another type. */
    private static final int ABSENT = 0;

    private static final int PRESENT = 1;
    /** Encodes the absence of an exit cause. Causes and states are encoded as their ordinals. */
    private static final int NO_CAUSE = -1;

    private static final int INITIAL_BUFFER_BYTES = 1024;
    private static final TaskState[] STATES = TaskState.values();
    private static final ExitCause[] CAUSES = ExitCause.values();

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
    private BinaryEncoder encoder;
    private BinaryDecoder decoder;

    /** Writes one list item. */
    private interface ItemWriter<T> {
        void write(T item) throws IOException;
    }

    /** Reads one list item. */
    private interface ItemReader<T> {
        T read() throws IOException;
    }

    // ---- encoding

    /** Returns the binary encoding of a message. */
    public byte[] encode(PeerMessage message) {
        bytes.reset();
        encoder = EncoderFactory.get().binaryEncoder(bytes, encoder);
        try {
            write(encoder, message);
            encoder.flush();
        } catch (IOException e) {
            throw new IllegalStateException("write to in-memory buffer failed", e);
        }
        return bytes.toByteArray();
    }

    private static void write(Encoder out, PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.ControllerHeartbeat heartbeat) {
            out.writeIndex(CONTROLLER_HEARTBEAT);
            writeHeartbeat(out, heartbeat);
        } else if (message instanceof PeerMessage.MachineStatusUpdate update) {
            out.writeIndex(MACHINE_STATUS);
            writeMachineStatus(out, update.machineStatus());
        } else if (message instanceof PeerMessage.MachineDirectory directory) {
            out.writeIndex(MACHINE_DIRECTORY);
            writeMachineDirectory(out, directory);
        } else if (message instanceof PeerMessage.JobCancelled cancelled) {
            out.writeIndex(JOB_CANCELLED);
            out.writeString(cancelled.job());
        } else if (message instanceof PeerMessage.JobTerminated terminated) {
            out.writeIndex(JOB_TERMINATED);
            writeJobTerminated(out, terminated);
        } else if (message instanceof PeerMessage.Bids bids) {
            out.writeIndex(BIDS);
            writeBidBatch(out, bids.batch());
        } else if (message instanceof PeerMessage.OperatorRequest request) {
            out.writeIndex(OPERATOR_REQUEST);
            out.writeString(request.kind().name());
            out.writeString(request.argument());
        } else if (message instanceof PeerMessage.OperatorResponse response) {
            out.writeIndex(OPERATOR_RESPONSE);
            out.writeString(response.outcome().name());
            out.writeString(response.json());
        } else {
            throw new IllegalArgumentException(
                    "no encoding for message type " + message.getClass().getName());
        }
    }

    private static <T> void writeList(Encoder out, Collection<T> items, ItemWriter<T> writer) throws IOException {
        out.writeArrayStart();
        out.setItemCount(items.size());
        for (T item : items) {
            out.startItem();
            writer.write(item);
        }
        out.writeArrayEnd();
    }

    private static void writeHeartbeat(Encoder out, PeerMessage.ControllerHeartbeat heartbeat) throws IOException {
        out.writeString(heartbeat.node());
        out.writeLong(heartbeat.incarnation());
        out.writeLong(heartbeat.leaderTerm());
        out.writeLong(heartbeat.stateAgeMs());
        out.writeBoolean(heartbeat.isolatedFromWorkers());
    }

    private static void writeMachineDirectory(Encoder out, PeerMessage.MachineDirectory directory) throws IOException {
        writeList(out, directory.machines(), machine -> {
            out.writeString(machine.machine());
            out.writeString(machine.address());
            out.writeString(machine.zone());
        });
        writeList(out, directory.lateBidJobs(), out::writeString);
        writeList(out, directory.quarantinedJobs(), out::writeString);
    }

    private static void writeJobTerminated(Encoder out, PeerMessage.JobTerminated terminated) throws IOException {
        out.writeString(terminated.job());
        out.writeString(terminated.terminalJob().state().name());
        out.writeInt(terminated.terminalJob().tasks());
        out.writeInt(terminated.terminalJob().finished());
        out.writeString(terminated.terminalJob().team());
    }

    private static void writeMachineStatus(Encoder out, MachineStatus status) throws IOException {
        out.writeString(status.node());
        out.writeLong(status.incarnation());
        out.writeString(status.partition());
        out.writeLong(status.term());
        out.writeString(status.machine());
        out.writeString(status.address());
        out.writeString(status.type());
        out.writeString(status.zone());
        out.writeBoolean(status.spot());
        out.writeLong(status.agentEpoch());
        if (status.evictionNoticeS() == null) {
            out.writeIndex(ABSENT);
            out.writeNull();
        } else {
            out.writeIndex(PRESENT);
            out.writeDouble(status.evictionNoticeS());
        }
        out.writeBoolean(status.silent());
        writeList(out, status.tasks(), task -> {
            out.writeString(task.task().toString());
            out.writeLong(task.attempt());
            out.writeInt(task.state().ordinal());
            out.writeInt(task.cause() == null ? NO_CAUSE : task.cause().ordinal());
            out.writeBoolean(task.checkpointed());
        });
        writeList(out, status.terminated(), out::writeLong);
    }

    private static void writeBidBatch(Encoder out, BidBatch batch) throws IOException {
        out.writeString(batch.node());
        out.writeLong(batch.incarnation());
        out.writeLong(batch.revision());
        out.writeMapStart();
        out.setItemCount(batch.terms().size());
        for (Map.Entry<String, Long> term : batch.terms().entrySet()) {
            out.startItem();
            out.writeString(term.getKey());
            out.writeLong(term.getValue());
        }
        out.writeMapEnd();
        writeList(out, batch.bids(), bid -> {
            out.writeString(bid.machine());
            out.writeLong(bid.agentEpoch());
            out.writeString(bid.job());
            out.writeInt(bid.slots());
            out.writeDouble(bid.finishS());
        });
    }

    // ---- decoding

    /**
     * Decodes a message.
     *
     * @throws IOException if the bytes are malformed or not exactly one message
     */
    @SuppressWarnings("IllegalCatch") // Avro and the constructors throw many types on malformed bytes.
    public PeerMessage decode(byte[] message) throws IOException {
        decoder = DecoderFactory.get().binaryDecoder(message, decoder);
        try {
            PeerMessage decoded = read(decoder);
            if (!decoder.isEnd()) {
                throw new IOException("more than one peer message");
            }
            return decoded;
        } catch (RuntimeException e) {
            throw new IOException("malformed peer message", e);
        }
    }

    private static PeerMessage read(Decoder in) throws IOException {
        int index = in.readIndex();
        return switch (index) {
            case CONTROLLER_HEARTBEAT ->
                new PeerMessage.ControllerHeartbeat(
                        in.readString(), in.readLong(), in.readLong(), in.readLong(), in.readBoolean());
            case MACHINE_STATUS -> new PeerMessage.MachineStatusUpdate(readMachineStatus(in));
            case MACHINE_DIRECTORY ->
                new PeerMessage.MachineDirectory(
                        readList(in, () -> new MachineAddress(in.readString(), in.readString(), in.readString())),
                        readList(in, in::readString),
                        readList(in, in::readString));
            case JOB_CANCELLED -> new PeerMessage.JobCancelled(in.readString());
            case JOB_TERMINATED ->
                new PeerMessage.JobTerminated(
                        in.readString(),
                        new Records.TerminalJob(
                                JobState.valueOf(in.readString()), in.readInt(), in.readInt(), in.readString()));
            case OPERATOR_REQUEST ->
                new PeerMessage.OperatorRequest(
                        PeerMessage.OperatorRequest.Kind.valueOf(in.readString()), in.readString());
            case OPERATOR_RESPONSE ->
                new PeerMessage.OperatorResponse(
                        PeerMessage.OperatorResponse.Outcome.valueOf(in.readString()), in.readString());
            case BIDS -> new PeerMessage.Bids(readBidBatch(in));
            default -> throw new IOException("unknown kind of peer message: " + index);
        };
    }

    private static <T> List<T> readList(Decoder in, ItemReader<T> reader) throws IOException {
        List<T> list = new ArrayList<>();
        for (long count = in.readArrayStart(); count > 0; count = in.arrayNext()) {
            for (long i = 0; i < count; i++) {
                list.add(reader.read());
            }
        }
        return List.copyOf(list);
    }

    private static MachineStatus readMachineStatus(Decoder in) throws IOException {
        return new MachineStatus(
                in.readString(),
                in.readLong(),
                in.readString(),
                in.readLong(),
                in.readString(),
                in.readString(),
                in.readString(),
                in.readString(),
                in.readBoolean(),
                in.readLong(),
                in.readIndex() == ABSENT ? null : in.readDouble(),
                in.readBoolean(),
                readList(in, () -> readTaskStatus(in)),
                readList(in, in::readLong));
    }

    private static TaskStatus readTaskStatus(Decoder in) throws IOException {
        TaskId task = TaskId.parse(in.readString());
        long attempt = in.readLong();
        TaskState state = STATES[in.readInt()];
        int cause = in.readInt();
        return new TaskStatus(task, attempt, state, cause < 0 ? null : CAUSES[cause], in.readBoolean());
    }

    private static BidBatch readBidBatch(Decoder in) throws IOException {
        String controller = in.readString();
        long incarnation = in.readLong();
        long revision = in.readLong();
        Map<String, Long> terms = new HashMap<>();
        for (long count = in.readMapStart(); count > 0; count = in.mapNext()) {
            for (long i = 0; i < count; i++) {
                terms.put(in.readString(), in.readLong());
            }
        }
        List<Bid> bids = readList(
                in, () -> new Bid(in.readString(), in.readLong(), in.readString(), in.readInt(), in.readDouble()));
        return new BidBatch(controller, incarnation, revision, terms, bids);
    }
}
