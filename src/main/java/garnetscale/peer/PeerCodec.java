package garnetscale.peer;

import garnetscale.core.bid.Bid;
import garnetscale.core.bid.BidSheet;
import garnetscale.core.block.Observation;
import garnetscale.core.job.JobState;
import garnetscale.core.job.TaskId;
import garnetscale.core.machine.Address;
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.ReportedTask;
import garnetscale.core.machine.TaskState;
import garnetscale.core.store.Records;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericDatumReader;
import org.apache.avro.generic.GenericDatumWriter;
import org.apache.avro.generic.GenericRecord;
import org.apache.avro.io.BinaryDecoder;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;

/** Peer messages in Avro's binary form, by the schema in {@code peer.avsc}. */
public final class PeerCodec {

    private final Schema schema;
    private final GenericDatumWriter<GenericRecord> writer;
    private final GenericDatumReader<GenericRecord> reader;
    private final Map<String, Schema> types = new HashMap<>();
    private BinaryEncoder encoder;
    private BinaryDecoder decoder;

    public PeerCodec() {
        try (InputStream in = PeerCodec.class.getResourceAsStream("/peer.avsc")) {
            schema = new Schema.Parser().parse(in);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        writer = new GenericDatumWriter<>(schema);
        reader = new GenericDatumReader<>(schema);
    }

    private Schema type(String name) {
        return types.computeIfAbsent(name, n -> schema.getTypes().get(schema.getIndexNamed("garnetscale.peer." + n)));
    }

    public byte[] encode(PeerMessage message) {
        GenericRecord r;
        if (message instanceof PeerMessage.Heartbeat h) {
            r = record("Heartbeat", h.node(), h.incarnation(), h.leaderTerm(), h.stateAgeMs(), h.deaf());
        } else if (message instanceof PeerMessage.Seen s) {
            r = seen(s.observation());
        } else if (message instanceof PeerMessage.Book b) {
            List<GenericRecord> rows = new ArrayList<>();
            b.machines().forEach(a -> rows.add(record("Address", a.machine(), a.address(), a.zone())));
            r = record("Book", rows, b.lateJobs(), b.suspects());
        } else if (message instanceof PeerMessage.Cancelled c) {
            r = record("Cancelled", c.job());
        } else if (message instanceof PeerMessage.Over o) {
            r = record("Over", o.job(), o.how().state().name(), o.how().tasks(), o.how().finished(), o.how().team());
        } else if (message instanceof PeerMessage.Bids b) {
            r = bids(b.sheet());
        } else {
            throw new IllegalArgumentException("no form for " + message);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        encoder = EncoderFactory.get().binaryEncoder(out, encoder);
        try {
            writer.write(r, encoder);
            encoder.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return out.toByteArray();
    }

    private GenericRecord record(String name, Object... values) {
        GenericRecord r = new GenericData.Record(type(name));
        for (int i = 0; i < values.length; i++) {
            r.put(i, values[i]);
        }
        return r;
    }

    private GenericRecord seen(Observation o) {
        List<GenericRecord> tasks = new ArrayList<>();
        for (ReportedTask t : o.tasks()) {
            tasks.add(record("Task", t.task().toString(), t.attempt(), t.state().ordinal(),
                t.cause() == null ? -1 : t.cause().ordinal(), t.saved()));
        }
        return record("Observation", o.node(), o.incarnation(), o.block(), o.term(), o.machine(), o.address(), o.type(),
            o.zone(), o.spot(), o.shift(), o.noticeS(), o.silent(), tasks, o.gone());
    }

    private GenericRecord bids(BidSheet s) {
        List<GenericRecord> bids = new ArrayList<>();
        for (Bid b : s.bids()) {
            bids.add(record("Bid", b.machine(), b.shift(), b.job(), b.slots(), b.finishS()));
        }
        return record("BidSheet", s.node(), s.incarnation(), s.ledger(), s.terms(), bids);
    }

    /** Reads a message; anything that isn't one is an IOException. */
    public PeerMessage decode(byte[] bytes) throws IOException {
        decoder = DecoderFactory.get().binaryDecoder(bytes, decoder);
        try {
            GenericRecord r = reader.read(null, decoder);
            return switch (r.getSchema().getName()) {
                case "Heartbeat" -> new PeerMessage.Heartbeat(text(r, "node"), whole(r, "incarnation"),
                    whole(r, "leaderTerm"), whole(r, "stateAgeMs"), (boolean) r.get("deaf"));
                case "Book" -> new PeerMessage.Book(book(r), texts((List<?>) r.get("late")), texts((List<?>) r.get("suspects")));
                case "Cancelled" -> new PeerMessage.Cancelled(text(r, "job"));
                case "Over" -> new PeerMessage.Over(text(r, "job"), new Records.Archived(JobState.valueOf(text(r, "state")),
                    (int) r.get("tasks"), (int) r.get("finished"), text(r, "team")));
                case "Observation" -> new PeerMessage.Seen(observation(r));
                case "BidSheet" -> new PeerMessage.Bids(sheet(r));
                default -> throw new IOException("not a message: " + r.getSchema().getName());
            };
        } catch (RuntimeException e) {
            throw new IOException("malformed peer message", e);
        }
    }

    private static List<Address> book(GenericRecord r) {
        List<Address> list = new ArrayList<>();
        for (Object o : (List<?>) r.get("machines")) {
            GenericRecord a = (GenericRecord) o;
            list.add(new Address(text(a, "machine"), text(a, "address"), text(a, "zone")));
        }
        return List.copyOf(list);
    }

    private static List<String> texts(List<?> list) {
        return list.stream().map(Object::toString).toList();
    }

    private static Observation observation(GenericRecord r) {
        List<ReportedTask> tasks = new ArrayList<>();
        for (Object o : (List<?>) r.get("tasks")) {
            GenericRecord t = (GenericRecord) o;
            int cause = (int) t.get("cause");
            tasks.add(new ReportedTask(TaskId.parse(text(t, "task")), whole(t, "attempt"),
                TaskState.values()[(int) t.get("state")], cause < 0 ? null : ExitCause.values()[cause],
                (boolean) t.get("saved")));
        }
        List<Long> gone = new ArrayList<>();
        for (Object o : (List<?>) r.get("gone")) {
            gone.add((Long) o);
        }
        return new Observation(text(r, "node"), whole(r, "incarnation"), text(r, "block"), whole(r, "term"),
            text(r, "machine"), text(r, "address"), text(r, "type"), text(r, "zone"), (boolean) r.get("spot"),
            whole(r, "shift"), (Double) r.get("notice"), (boolean) r.get("silent"), List.copyOf(tasks),
            List.copyOf(gone));
    }

    private static BidSheet sheet(GenericRecord r) {
        Map<String, Long> terms = new HashMap<>();
        ((Map<?, ?>) r.get("terms")).forEach((k, v) -> terms.put(k.toString(), (Long) v));
        List<Bid> bids = new ArrayList<>();
        for (Object o : (List<?>) r.get("bids")) {
            GenericRecord b = (GenericRecord) o;
            bids.add(new Bid(text(b, "machine"), whole(b, "shift"), text(b, "job"), (int) b.get("slots"),
                (double) b.get("finish")));
        }
        return new BidSheet(text(r, "node"), whole(r, "incarnation"), whole(r, "ledger"), terms, List.copyOf(bids));
    }

    private static String text(GenericRecord r, String field) {
        return r.get(field).toString();
    }

    private static long whole(GenericRecord r, String field) {
        return (long) r.get(field);
    }
}
