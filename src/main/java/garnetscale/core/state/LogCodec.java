package garnetscale.core.state;

import garnetscale.core.job.TaskId;
import garnetscale.core.machine.Placement;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Encodes and decodes the stored form of the work log: entries, snapshot pages, and the machine records, deltas and finished
 * sets in them. Field names are short because every byte is sent to every controller. The order of fields is part of the
 * stored form.
 */
final class LogCodec {

    private static final Placement.Stop[] STOPS = Placement.Stop.values();

    private static final String SEQUENCE = "n";
    private static final String MACHINES = "m";
    private static final String FINISHED = "f";
    private static final String BEFORE = "b";
    private static final String PAGES = "c";
    private static final String ZONE = "z";
    private static final String IMAGES = "i";
    private static final String PLACEMENTS = "p";
    private static final String FREED = "-";
    private static final String PLACED = "+";
    private static final String STOP_CHANGES = "s";

    private LogCodec() {}

    // ---- entries and snapshot pages

    /** Returns the stored value of an entry. {@code before} is omitted if it is {@code sequence - 1}. */
    static Map<String, Object> encodeEntry(WorkLog.Entry entry) {
        Map<String, Object> machines = new LinkedHashMap<>();
        entry.machines().forEach((id, delta) -> machines.put(id, encodeDelta(delta)));
        Map<String, Object> value = encode(entry.sequence(), machines, entry.parts());
        if (entry.before() != entry.sequence() - 1) {
            value.put(BEFORE, entry.before());
        }
        return value;
    }

    static WorkLog.Entry decodeEntry(Object value) {
        Map<?, ?> fields = (Map<?, ?>) value;
        Map<String, Delta> machines = new LinkedHashMap<>();
        ((Map<?, ?>) fields.get(MACHINES))
                .forEach((id, delta) -> machines.put((String) id, decodeDelta((Map<?, ?>) delta)));
        long sequence = sequenceOf(fields);
        long before = fields.get(BEFORE) instanceof Number stored ? stored.longValue() : sequence - 1;
        return new WorkLog.Entry(sequence, before, machines, decodeParts(fields));
    }

    /**
     * Returns the stored value of a snapshot page.
     *
     * @param pages the number of pages of the bucket; written into each page because a listing may read the pages at different
     *              revisions
     */
    static Map<String, Object> encodePage(WorkLog.Contents page, int pages) {
        Map<String, Object> machines = new LinkedHashMap<>();
        page.machines().forEach((id, machine) -> machines.put(id, encodeMachine(machine)));
        Map<String, Object> value = encode(page.sequence(), machines, page.parts());
        value.put(PAGES, pages);
        return value;
    }

    static WorkLog.Contents decodePage(Object value) {
        Map<?, ?> fields = (Map<?, ?>) value;
        Map<String, MachineRecord> machines = new LinkedHashMap<>();
        ((Map<?, ?>) fields.get(MACHINES))
                .forEach((id, machine) -> machines.put((String) id, decodeMachine((Map<?, ?>) machine)));
        return new WorkLog.Contents(sequenceOf(fields), machines, decodeParts(fields));
    }

    private static Map<String, Object> encode(
            long sequence, Map<String, Object> machines, Map<String, BitSet> finishedParts) {
        Map<String, Object> parts = new LinkedHashMap<>();
        finishedParts.forEach((part, finished) -> parts.put(part, encodeFinished(finished)));
        Map<String, Object> value = new TreeMap<>();
        value.put(SEQUENCE, sequence);
        value.put(MACHINES, machines);
        value.put(FINISHED, parts);
        return value;
    }

    private static Map<String, BitSet> decodeParts(Map<?, ?> fields) {
        Map<String, BitSet> parts = new LinkedHashMap<>();
        ((Map<?, ?>) fields.get(FINISHED))
                .forEach((part, finished) -> parts.put((String) part, decodeFinished((String) finished)));
        return parts;
    }

    /** Returns the sequence number of a stored entry, or of the last entry that a stored page contains. */
    static long sequenceOf(Object value) {
        return StoredFields.whole((Map<?, ?>) value, SEQUENCE);
    }

    /** Returns the number of pages of the bucket that a stored page belongs to. */
    static int pageCountOf(Object page) {
        return ((Number) ((Map<?, ?>) page).get(PAGES)).intValue();
    }

    /** Encodes a part of a finished set, in Base64 because the protocol has no binary values. */
    static String encodeFinished(BitSet part) {
        return Base64.getEncoder().encodeToString(part.toByteArray());
    }

    static BitSet decodeFinished(String text) {
        return BitSet.valueOf(Base64.getDecoder().decode(text));
    }

    // ---- machines

    static Map<String, Object> encodeMachine(MachineRecord machine) {
        return Map.of(ZONE, machine.zone(), PLACEMENTS, rows(machine.placements()), IMAGES, rows(machine.images()));
    }

    static MachineRecord decodeMachine(Map<?, ?> fields) {
        return new MachineRecord(
                StoredFields.text(fields, ZONE), placements((List<?>) fields.get(PLACEMENTS)), images((List<?>)
                        fields.get(IMAGES)));
    }

    /** Encodes a change of a machine record. Unchanged fields except the zone are omitted; an empty map removes the record. */
    static Map<String, Object> encodeDelta(Delta delta) {
        Map<String, Object> fields = new LinkedHashMap<>();
        if (delta.zone() != null) {
            fields.put(ZONE, delta.zone());
        }
        if (!delta.freed().isEmpty()) {
            fields.put(FREED, List.copyOf(delta.freed()));
        }
        if (!delta.stops().isEmpty()) {
            List<Object> rows = new ArrayList<>();
            delta.stops().forEach((attempt, stop) -> rows.add(List.of(attempt, stop.ordinal())));
            fields.put(STOP_CHANGES, rows);
        }
        if (!delta.placed().isEmpty()) {
            fields.put(PLACED, rows(delta.placed()));
        }
        if (delta.images() != null) {
            fields.put(IMAGES, rows(delta.images()));
        }
        return fields;
    }

    static Delta decodeDelta(Map<?, ?> fields) {
        Set<Long> freed = new HashSet<>();
        StoredFields.list(fields, FREED).forEach(attempt -> freed.add(((Number) attempt).longValue()));
        Map<Long, Placement.Stop> stops = new LinkedHashMap<>();
        for (Object row : StoredFields.list(fields, STOP_CHANGES)) {
            stops.put(StoredFields.whole((List<?>) row, 0), stop((List<?>) row, 1));
        }
        return new Delta(
                StoredFields.text(fields, ZONE),
                freed,
                stops,
                placements(StoredFields.list(fields, PLACED)),
                fields.get(IMAGES) instanceof List<?> rows ? images(rows) : null);
    }

    private static List<Object> rows(List<Placement> placements) {
        List<Object> rows = new ArrayList<>(placements.size());
        for (Placement placement : placements) {
            rows.add(List.of(
                    placement.task().toString(),
                    placement.attempt(),
                    placement.agentEpoch(),
                    placement.stop().ordinal()));
        }
        return rows;
    }

    private static List<Placement> placements(List<?> rows) {
        List<Placement> placements = new ArrayList<>(rows.size());
        for (Object element : rows) {
            List<?> row = (List<?>) element;
            placements.add(new Placement(
                    TaskId.parse((String) row.get(0)),
                    StoredFields.whole(row, 1),
                    StoredFields.whole(row, 2),
                    stop(row, 3)));
        }
        return List.copyOf(placements);
    }

    private static Placement.Stop stop(List<?> row, int column) {
        return STOPS[((Number) row.get(column)).intValue()];
    }

    private static List<Object> rows(Map<String, Double> images) {
        List<Object> rows = new ArrayList<>(images.size());
        images.forEach((name, sizeGb) -> rows.add(List.of(name, sizeGb)));
        return rows;
    }

    private static Map<String, Double> images(List<?> rows) {
        Map<String, Double> images = new LinkedHashMap<>();
        for (Object row : rows) {
            images.put((String) ((List<?>) row).get(0), StoredFields.number((List<?>) row, 1));
        }
        return images;
    }
}
