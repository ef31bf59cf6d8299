package garnetscale.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Pages read at different revisions: a rewritten part is read from the newer bucket, the rest from the older one. */
class SnapshotListingTest {

    private static final Bucket ROOT = Bucket.root(0);
    /** Machines of shard 0; the next bit of their hashes is 0, 1, 0 and 1. */
    private static final String[] MACHINES = {"m-0", "m-32", "m-64", "m-96"};

    private final SnapshotListing listing = new SnapshotListing();

    private static Map<String, Object> page(long sequence, String... machines) {
        Map<String, MachineRecord> records = new LinkedHashMap<>();
        for (String machine : machines) {
            records.put(machine, new MachineRecord("a", List.of(), Map.of()));
        }
        return LogCodec.encodePage(new WorkLog.Contents(sequence, records, Map.of("wk-1/0", new BitSet())), 1);
    }

    private Set<String> machines() {
        Set<String> seen = new TreeSet<>();
        listing.forEachMachine((id, machine) -> seen.add(id));
        return seen;
    }

    @Test
    void aMachineMissingFromTheNewerBucketIsNotReadFromTheOlder() {
        listing.add(ROOT.key(), page(10, MACHINES));
        listing.add(ROOT.child(0).key(), page(20, "m-0"));
        assertFalse(listing.isInconsistent());
        assertEquals(Set.of("m-0", "m-32", "m-96"), machines());
        assertEquals(20, listing.index().regionOf(0).sequence());
        assertEquals(10, listing.index().regionOf(32).sequence());
    }

    @Test
    void bothHalvesOfASplitShardAreComplete() {
        listing.add(ROOT.child(0).key(), page(20, "m-0", "m-64"));
        assertTrue(listing.isInconsistent(), "the other half is missing");
        listing.add(ROOT.child(1).key(), page(30, "m-32", "m-96"));
        assertFalse(listing.isInconsistent());
        assertEquals(Set.of(MACHINES), machines());
    }

    @Test
    void pagesOfARootMustContainTheSameEntries() {
        listing.add(WorkLog.pageKey(0, 0), Map.of("n", 10, "m", Map.of(), "f", Map.of(), "c", 2));
        assertTrue(listing.isInconsistent(), "a page is missing");
        listing.add(WorkLog.pageKey(0, 1), Map.of("n", 11, "m", Map.of(), "f", Map.of(), "c", 2));
        assertTrue(listing.isInconsistent(), "the pages contain different entries");
    }
}
