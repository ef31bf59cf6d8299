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
 * Peer messages in Avro's binary form. The schema is {@code peer.avsc}, and a test holds this to it by Avro's own generic
 * reader and writer; here its fields are written and read in their order by Avro's encoder and decoder. To parse the schema
 * and make generic records took a third of a starting process's time, and most of what a message costs.
 */
public final class PeerCodec {

    /** Places in the schema's union; what stands between them is part of other messages. */
    private static final int HEARTBEAT = 0;

    private static final int OBSERVATION = 2;
    private static final int MACHINE_DIRECTORY = 4;
    private static final int CANCELLED = 5;
    private static final int OVER = 6;
    private static final int BID_SHEET = 8;
    private static final int INQUIRY = 9;
    private static final int ANSWER = 10;
    private static final TaskState[] STATES = TaskState.values();
    private static final ExitCause[] CAUSES = ExitCause.values();

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(1024);
    private BinaryEncoder encoder;
    private BinaryDecoder decoder;

    private interface Item<T> {
        void write(T item) throws IOException;
    }

    private interface Read<T> {
        T item() throws IOException;
    }

    public byte[] encode(PeerMessage message) {
        bytes.reset();
        encoder = EncoderFactory.get().binaryEncoder(bytes, encoder);
        try {
            write(encoder, message);
            encoder.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return bytes.toByteArray();
    }

    private static void write(Encoder out, PeerMessage message) throws IOException {
        if (message instanceof PeerMessage.ControllerHeartbeat h) {
            out.writeIndex(HEARTBEAT);
            out.writeString(h.node());
            out.writeLong(h.incarnation());
            out.writeLong(h.leaderTerm());
            out.writeLong(h.stateAgeMs());
            out.writeBoolean(h.isolatedFromWorkers());
        } else if (message instanceof PeerMessage.MachineStatusUpdate s) {
            out.writeIndex(OBSERVATION);
            machineStatus(out, s.machineStatus());
        } else if (message instanceof PeerMessage.MachineDirectory b) {
            out.writeIndex(MACHINE_DIRECTORY);
            list(out, b.machines(), a -> {
                out.writeString(a.machine());
                out.writeString(a.address());
                out.writeString(a.zone());
            });
            list(out, b.lateJobs(), out::writeString);
            list(out, b.suspects(), out::writeString);
        } else if (message instanceof PeerMessage.JobCancelled c) {
            out.writeIndex(CANCELLED);
            out.writeString(c.job());
        } else if (message instanceof PeerMessage.JobTerminated o) {
            out.writeIndex(OVER);
            out.writeString(o.job());
            out.writeString(o.how().state().name());
            out.writeInt(o.how().tasks());
            out.writeInt(o.how().finished());
            out.writeString(o.how().team());
        } else if (message instanceof PeerMessage.Bids b) {
            out.writeIndex(BID_SHEET);
            batch(out, b.batch());
        } else if (message instanceof PeerMessage.OperatorRequest i) {
            out.writeIndex(INQUIRY);
            out.writeString(i.kind().name());
            out.writeString(i.argument());
        } else if (message instanceof PeerMessage.OperatorResponse a) {
            out.writeIndex(ANSWER);
            out.writeString(a.outcome().name());
            out.writeString(a.json());
        } else {
            throw new IllegalArgumentException("no form for " + message);
        }
    }

    private static <T> void list(Encoder out, Collection<T> items, Item<T> item) throws IOException {
        out.writeArrayStart();
        out.setItemCount(items.size());
        for (T t : items) {
            out.startItem();
            item.write(t);
        }
        out.writeArrayEnd();
    }

    private static void machineStatus(Encoder out, MachineStatus o) throws IOException {
        out.writeString(o.node());
        out.writeLong(o.incarnation());
        out.writeString(o.partition());
        out.writeLong(o.term());
        out.writeString(o.machine());
        out.writeString(o.address());
        out.writeString(o.type());
        out.writeString(o.zone());
        out.writeBoolean(o.spot());
        out.writeLong(o.agentEpoch());
        if (o.evictionNoticeS() == null) {
            out.writeIndex(0);
            out.writeNull();
        } else {
            out.writeIndex(1);
            out.writeDouble(o.evictionNoticeS());
        }
        out.writeBoolean(o.silent());
        list(out, o.tasks(), t -> {
            out.writeString(t.task().toString());
            out.writeLong(t.attempt());
            out.writeInt(t.state().ordinal());
            out.writeInt(t.cause() == null ? -1 : t.cause().ordinal());
            out.writeBoolean(t.checkpointed());
        });
        list(out, o.terminated(), out::writeLong);
    }

    private static void batch(Encoder out, BidBatch s) throws IOException {
        out.writeString(s.node());
        out.writeLong(s.incarnation());
        out.writeLong(s.revision());
        out.writeMapStart();
        out.setItemCount(s.terms().size());
        for (Map.Entry<String, Long> e : s.terms().entrySet()) {
            out.startItem();
            out.writeString(e.getKey());
            out.writeLong(e.getValue());
        }
        out.writeMapEnd();
        list(out, s.bids(), b -> {
            out.writeString(b.machine());
            out.writeLong(b.agentEpoch());
            out.writeString(b.job());
            out.writeInt(b.slots());
            out.writeDouble(b.finishS());
        });
    }

    /** Reads a message; anything that isn't one is an IOException. */
    public PeerMessage decode(byte[] message) throws IOException {
        decoder = DecoderFactory.get().binaryDecoder(message, decoder);
        try {
            PeerMessage m = read(decoder);
            if (!decoder.isEnd()) {
                throw new IOException("more than one peer message");
            }
            return m;
        } catch (RuntimeException e) {
            throw new IOException("malformed peer message", e);
        }
    }

    private static PeerMessage read(Decoder in) throws IOException {
        int kind = in.readIndex();
        return switch (kind) {
            case HEARTBEAT ->
                new PeerMessage.ControllerHeartbeat(
                        in.readString(), in.readLong(), in.readLong(), in.readLong(), in.readBoolean());
            case OBSERVATION -> new PeerMessage.MachineStatusUpdate(machineStatus(in));
            case MACHINE_DIRECTORY ->
                new PeerMessage.MachineDirectory(
                        list(in, () -> new MachineAddress(in.readString(), in.readString(), in.readString())),
                        list(in, in::readString),
                        list(in, in::readString));
            case CANCELLED -> new PeerMessage.JobCancelled(in.readString());
            case OVER ->
                new PeerMessage.JobTerminated(
                        in.readString(),
                        new Records.TerminalJob(
                                JobState.valueOf(in.readString()), in.readInt(), in.readInt(), in.readString()));
            case INQUIRY ->
                new PeerMessage.OperatorRequest(
                        PeerMessage.OperatorRequest.Kind.valueOf(in.readString()), in.readString());
            case ANSWER ->
                new PeerMessage.OperatorResponse(
                        PeerMessage.OperatorResponse.Outcome.valueOf(in.readString()), in.readString());
            case BID_SHEET -> new PeerMessage.Bids(batch(in));
            default -> throw new IOException("not a message: " + kind);
        };
    }

    private static <T> List<T> list(Decoder in, Read<T> read) throws IOException {
        List<T> list = new ArrayList<>();
        for (long n = in.readArrayStart(); n > 0; n = in.arrayNext()) {
            for (long i = 0; i < n; i++) {
                list.add(read.item());
            }
        }
        return List.copyOf(list);
    }

    private static MachineStatus machineStatus(Decoder in) throws IOException {
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
                in.readIndex() == 0 ? null : in.readDouble(),
                in.readBoolean(),
                list(in, () -> {
                    TaskId task = TaskId.parse(in.readString());
                    long attempt = in.readLong();
                    TaskState state = STATES[in.readInt()];
                    int cause = in.readInt();
                    return new TaskStatus(task, attempt, state, cause < 0 ? null : CAUSES[cause], in.readBoolean());
                }),
                list(in, in::readLong));
    }

    private static BidBatch batch(Decoder in) throws IOException {
        String node = in.readString();
        long incarnation = in.readLong();
        long revision = in.readLong();
        Map<String, Long> terms = new HashMap<>();
        for (long n = in.readMapStart(); n > 0; n = in.mapNext()) {
            for (long i = 0; i < n; i++) {
                terms.put(in.readString(), in.readLong());
            }
        }
        return new BidBatch(
                node,
                incarnation,
                revision,
                terms,
                list(
                        in,
                        () -> new Bid(in.readString(), in.readLong(), in.readString(), in.readInt(), in.readDouble())));
    }
}
