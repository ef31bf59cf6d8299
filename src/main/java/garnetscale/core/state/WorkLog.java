package garnetscale.core.state;

import garnetscale.core.machine.Placement;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * How placements and finished sets are stored: one numbered entry for each transaction of the leader, with the
 * change of every machine and the new part of every finished set that it touches. One change carries so a whole
 * award or a batch of finishes; with a key for each machine the state service's changes a second would bound how many
 * tasks a second can start.
 *
 * <p>Entries lie in a ring of keys, each written over the one a whole ring before it. What an overwritten entry said
 * must be in the base by then: machines and finished sets are spread over shards, and every now and then a
 * transaction folds the shard whose base is oldest, which is to write it whole. To read the store is to read the
 * bases and then, for each shard, the entries above its base's number.
 */
public final class WorkLog {

    /** Shards of the base, each of which may be split further; see {@link Bucket}. */
    static final int SHARDS = 32;
    /** Entries in the ring, in rounds of folding: a fold may be put off for long before the ring is at its end. */
    private static final int ROUNDS_IN_RING = 3;
    /** Entries in the ring while no shard is split. */
    static final int RING = ROUNDS_IN_RING * SHARDS;
    /** Tasks per part of a finished set, so that a job of any size keeps each part small and one finish writes little. */
    static final int PART = 2048;

    /** Bytes of a placement's row beside its job's id. */
    static final int ROW = 52;

    private WorkLog() {}

    /**
     * An entry: the changes of machines, and the new parts of finished sets.
     *
     * @param before the number of the entry that it follows
     */
    record Entry(long number, long before, Map<String, Delta> machines, Map<String, BitSet> parts) {}

    /** A page of a base: machines and parts of finished sets as they are after the entry of that number. */
    record Contents(long number, Map<String, MachineRecord> machines, Map<String, BitSet> parts) {}

    static String part(String job, int part) {
        return job + "/" + part;
    }

    /** The part of a job's finished set that a task is in. */
    public static String partOf(String job, int task) {
        return part(job, task / PART);
    }

    /** A part's bits out of the whole set. */
    public static BitSet bitsOf(BitSet all, String part) {
        int base = PART * Integer.parseInt(part.substring(part.lastIndexOf('/') + 1));
        return all.get(base, base + PART);
    }

    /** The key of a page of a shard's base. */
    static String baseKey(int shard, int page) {
        return Keys.SNAPSHOT + shard + "/" + page;
    }

    /** Whether a region of the base that goes up to {@code number} is to be folded: halfway to the ring's end. */
    static boolean isDue(long number, long sequence, int regions) {
        return sequence - number >= capacity(regions) / 2;
    }

    /** How many entries the ring holds when the base has so many regions, of which a transaction folds one. */
    static int capacity(int regions) {
        return ROUNDS_IN_RING * regions;
    }

    /** The value of a page of a base: it says how many there are, since a listing may read them at different moments. */
    static Map<String, Object> pageValue(Contents page, int pages) {
        Map<String, Object> machines = new LinkedHashMap<>();
        page.machines().forEach((id, m) -> machines.put(id, Records.machine(m)));
        Map<String, Object> value = value(page.number(), machines, page.parts());
        value.put("c", pages);
        return value;
    }

    static Map<String, Object> value(Entry e) {
        Map<String, Object> machines = new LinkedHashMap<>();
        e.machines().forEach((id, d) -> machines.put(id, Records.delta(d)));
        Map<String, Object> value = value(e.number(), machines, e.parts());
        if (e.before() != e.number() - 1) {
            value.put("b", e.before());
        }
        return value;
    }

    private static Map<String, Object> value(long number, Map<String, Object> machines, Map<String, BitSet> sets) {
        Map<String, Object> parts = new LinkedHashMap<>();
        sets.forEach((id, set) -> parts.put(id, Records.bits(set)));
        Map<String, Object> value = new TreeMap<>();
        value.put("n", number);
        value.put("m", machines);
        value.put("f", parts);
        return value;
    }

    static Entry entry(Object value) {
        Map<?, ?> v = (Map<?, ?>) value;
        Map<String, Delta> machines = new LinkedHashMap<>();
        ((Map<?, ?>) v.get("m")).forEach((id, d) -> machines.put((String) id, Records.delta((Map<?, ?>) d)));
        long number = numberOf(v);
        long before = v.get("b") instanceof Number b ? b.longValue() : number - 1;
        return new Entry(number, before, machines, parts(v));
    }

    private static Map<String, BitSet> parts(Map<?, ?> v) {
        Map<String, BitSet> parts = new LinkedHashMap<>();
        ((Map<?, ?>) v.get("f")).forEach((id, set) -> parts.put((String) id, Records.bits((String) set)));
        return parts;
    }

    /** The entry that a stored entry is, or that a page of the base goes up to. */
    static long numberOf(Object value) {
        return ((Number) ((Map<?, ?>) value).get("n")).longValue();
    }

    /** How many pages the base is stored in that a page belongs to. */
    static int pageCountOf(Object page) {
        return ((Number) ((Map<?, ?>) page).get("c")).intValue();
    }

    static Contents contents(Object value) {
        Map<?, ?> v = (Map<?, ?>) value;
        Map<String, MachineRecord> machines = new LinkedHashMap<>();
        ((Map<?, ?>) v.get("m")).forEach((id, m) -> machines.put((String) id, Records.machine((Map<?, ?>) m)));
        return new Contents(numberOf(v), machines, parts(v));
    }

    /** Bytes that a machine's row takes at the most, counted as the protocol counts them. */
    static int size(String id, MachineRecord m) {
        int bytes = rowSize(id, m.zone()) + imagesSize(m.images().keySet());
        for (Placement p : m.placements()) {
            bytes += p.task().job().length() + ROW;
        }
        return bytes;
    }

    /** Of a row without what is in it. */
    static int rowSize(String id, String zone) {
        return id.length() + 50 + (zone == null ? 0 : zone.length());
    }

    static int imagesSize(Set<String> images) {
        int bytes = 0;
        for (String image : images) {
            bytes += imageSize(image);
        }
        return bytes;
    }

    static int imageSize(String image) {
        return Records.textSize(image) + 28;
    }

    /** Bytes that a part of a finished set takes at the most. */
    static int size(String part, int tasks) {
        return part.length() + Math.min(PART, tasks) / 6 + 16;
    }

    /** A shard's base as pages that each fit into a value. */
    static List<Contents> pages(Contents shard, int pageBytes) {
        List<Contents> pages = new ArrayList<>();
        Contents page = new Contents(shard.number(), new LinkedHashMap<>(), new LinkedHashMap<>());
        int bytes = 0;
        for (Map.Entry<String, MachineRecord> e : shard.machines().entrySet()) {
            int size = size(e.getKey(), e.getValue());
            if (bytes > 0 && bytes + size > pageBytes) {
                pages.add(page);
                page = new Contents(shard.number(), new LinkedHashMap<>(), new LinkedHashMap<>());
                bytes = 0;
            }
            page.machines().put(e.getKey(), e.getValue());
            bytes += size;
        }
        for (Map.Entry<String, BitSet> e : shard.parts().entrySet()) {
            int size = size(e.getKey(), PART);
            if (bytes > 0 && bytes + size > pageBytes) {
                pages.add(page);
                page = new Contents(shard.number(), new LinkedHashMap<>(), new LinkedHashMap<>());
                bytes = 0;
            }
            page.parts().put(e.getKey(), e.getValue());
            bytes += size;
        }
        pages.add(page);
        return pages;
    }
}
