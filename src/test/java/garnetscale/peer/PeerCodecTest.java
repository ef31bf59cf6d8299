package garnetscale.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import java.io.InputStream;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericDatumReader;
import org.apache.avro.generic.GenericDatumWriter;
import org.apache.avro.generic.GenericRecord;
import org.apache.avro.io.BinaryDecoder;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.junit.jupiter.api.Test;

/** Round trips, agreement with the Avro schema, and rejection of truncated messages and trailing bytes. */
class PeerCodecTest {

    /** Names of the messages' records in the schema, which defines the encoding between controllers. */
    private static final Map<Class<? extends PeerMessage>, String> SCHEMA_NAMES = Map.of(
            PeerMessage.ControllerHeartbeat.class, "Heartbeat",
            PeerMessage.JobTerminated.class, "Over",
            PeerMessage.JobCancelled.class, "Cancelled",
            PeerMessage.MachineDirectory.class, "Book",
            PeerMessage.MachineStatusUpdate.class, "Observation",
            PeerMessage.Bids.class, "BidSheet",
            PeerMessage.OperatorRequest.class, "Inquiry",
            PeerMessage.OperatorResponse.class, "Answer");

    private static final List<PeerMessage> MESSAGES = List.of(
            new PeerMessage.ControllerHeartbeat("hive-0", 4, -1, 250, true),
            new PeerMessage.JobTerminated("wk-000412", new Records.TerminalJob(JobState.DONE, 16, 16, "red")),
            new PeerMessage.JobCancelled("wk-000412"),
            new PeerMessage.MachineDirectory(
                    List.of(new MachineAddress("m-000231", "10.1.0.232:9000", "a")),
                    List.of("wk-000412"),
                    List.of("wk-000413")),
            new PeerMessage.MachineStatusUpdate(new MachineStatus(
                    "hive-0",
                    4,
                    "a/0",
                    1048577,
                    "m-000231",
                    "10.1.0.232:9000",
                    "g8",
                    "a",
                    true,
                    2,
                    17.5,
                    false,
                    List.of(
                            new TaskStatus(new TaskId("wk-000412", 3), 16777217, TaskState.RUNNING, null, false),
                            new TaskStatus(
                                    new TaskId("wk-000398", 0), 16777218, TaskState.EXITED, ExitCause.STOPPED, true)),
                    List.of(16777219L))),
            new PeerMessage.Bids(new BidBatch(
                    "hive-0", 4, 431, Map.of("a/0", 1048577L), List.of(new Bid("m-000231", 2, "wk-000412", 3, 41.5)))),
            new PeerMessage.OperatorRequest(PeerMessage.OperatorRequest.Kind.JOB, "wk-000412"),
            new PeerMessage.OperatorResponse(
                    PeerMessage.OperatorResponse.Outcome.REFUSED, "{\"reason\":\"no job wk-000412\"}"));

    @Test
    void decodingReturnsTheEncodedMessage() throws IOException {
        PeerCodec codec = new PeerCodec();
        for (PeerMessage message : MESSAGES) {
            assertEquals(message, codec.decode(codec.encode(message)));
        }
    }

    /** Avro's generic reader decodes each message completely by the schema, and its generic writer produces the same bytes. */
    @Test
    void everyEncodingAgreesWithTheSchema() throws IOException {
        Schema schema;
        try (InputStream in = PeerCodec.class.getResourceAsStream("/peer.avsc")) {
            schema = new Schema.Parser().parse(in);
        }
        PeerCodec codec = new PeerCodec();
        for (PeerMessage message : MESSAGES) {
            byte[] encoded = codec.encode(message);
            BinaryDecoder in = DecoderFactory.get().binaryDecoder(encoded, null);
            GenericRecord read = new GenericDatumReader<GenericRecord>(schema).read(null, in);
            assertTrue(in.isEnd(), message + " has bytes after the end of the schema's record");
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            BinaryEncoder encoder = EncoderFactory.get().directBinaryEncoder(out, null);
            new GenericDatumWriter<GenericRecord>(schema).write(read, encoder);
            encoder.flush();
            assertArrayEquals(encoded, out.toByteArray(), message.toString());
            String name = SCHEMA_NAMES.get(message.getClass());
            assertEquals(name, read.getSchema().getName());
            for (Schema.Field field : read.getSchema().getFields()) {
                assertTrue(read.get(field.pos()) != null || field.name().equals("notice"), name + "." + field.name());
            }
        }
    }

    /** Checks each field of one message under its name in the schema. */
    @Test
    void fieldsAreEncodedInSchemaOrder() throws IOException {
        Schema schema;
        try (InputStream in = PeerCodec.class.getResourceAsStream("/peer.avsc")) {
            schema = new Schema.Parser().parse(in);
        }
        byte[] bytes = new PeerCodec().encode(MESSAGES.get(4));
        GenericRecord read = new GenericDatumReader<GenericRecord>(schema)
                .read(null, DecoderFactory.get().binaryDecoder(bytes, null));
        assertEquals(
                "{\"node\": \"hive-0\", \"incarnation\": 4, \"block\": \"a/0\", \"term\": 1048577, \"machine\": \"m-000231\", "
                        + "\"address\": \"10.1.0.232:9000\", \"type\": \"g8\", \"zone\": \"a\", \"spot\": true, \"shift\": 2, \"notice\": 17.5, "
                        + "\"silent\": false, \"tasks\": [{\"task\": \"wk-000412/3\", \"attempt\": 16777217, \"state\": "
                        + TaskState.RUNNING.ordinal()
                        + ", \"cause\": -1, \"saved\": false}, {\"task\": \"wk-000398/0\", \"attempt\": 16777218, \"state\": "
                        + TaskState.EXITED.ordinal() + ", \"cause\": " + ExitCause.STOPPED.ordinal()
                        + ", \"saved\": true}], \"gone\": [16777219]}",
                read.toString());
    }

    @Test
    void rejectsTrailingBytes() {
        PeerCodec codec = new PeerCodec();
        byte[] complete = codec.encode(MESSAGES.get(2));
        assertThrows(IOException.class, () -> codec.decode(Arrays.copyOf(complete, complete.length + 1)));
    }

    @Test
    void rejectsTruncatedMessages() {
        PeerCodec codec = new PeerCodec();
        for (PeerMessage message : MESSAGES) {
            byte[] complete = codec.encode(message);
            for (int length = 0; length < complete.length; length++) {
                byte[] truncated = Arrays.copyOf(complete, length);
                assertThrows(
                        IOException.class,
                        () -> codec.decode(truncated),
                        message + " truncated to " + length + " bytes");
            }
        }
    }
}
