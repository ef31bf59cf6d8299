package garnetscale.core.store;

import garnetscale.core.block.BlockLease;
import garnetscale.core.block.LeaderInfo;
import garnetscale.core.block.NodeInfo;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.upgrade.ClusterVersion;
import garnetscale.core.upgrade.VersionRange;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.LongStream;

/**
 * A node's copy of what is alive in the state service, as of one revision. It only moves forward: answers that
 * were overtaken change nothing.
 */
public final class StateReplica {

    private final Map<String, JobView> jobs = new LinkedHashMap<>();
    private final Map<String, JobView.Marks> marks = new HashMap<>();
    private final Map<String, MachineRecord> machines = new LinkedHashMap<>();
    private final Map<String, BlockLease> blocks = new HashMap<>();
    private final Map<String, NodeInfo> nodes = new TreeMap<>();
    private final Map<String, Long> stamps = new HashMap<>();
    /** Machines whose record changed since these were last taken. */
    private Set<String> changed = new HashSet<>();

    private BaseIndex base = new BaseIndex();
    private LogRing ring = new LogRing();
    /** How far the base went when it was read: of what it held no older entry is news. */
    private BaseIndex baseRead = base;

    private long baseReadUpTo;

    private List<MachineType> types = List.of();
    private LeaderInfo leader;
    private long termCounter;
    private long ledger = -1;
    /** The last entry of the work log that is in here. */
    private long sequence;

    private boolean torn;
    private final VersionRange supported;
    private ClusterVersion version = ClusterVersion.FIRST;
    /** What of the store this controller can't read, and why; null while it can read everything. */
    private String unreadable;

    private long jobsAdded;

    /** A replica that reads whatever this program supports. */
    public StateReplica() {
        this(Layouts.SUPPORTED);
    }

    /** A replica of a controller that supports these layouts. */
    public StateReplica(VersionRange supported) {
        this.supported = supported;
    }

    public long ledger() {
        return ledger;
    }

    public boolean loaded() {
        return ledger >= 0;
    }

    /** Whether entries of the work log are missing: only a new listing helps. */
    public boolean torn() {
        return torn;
    }

    /** The version of what is stored that is active for the whole cluster. */
    public ClusterVersion version() {
        return version;
    }

    /**
     * Which record this controller can't read, and why; null while it can read all. It then holds nothing and decides
     * nothing: a record that is misread is worse than a controller that stands aside.
     */
    public String unreadable() {
        return unreadable;
    }

    /** Makes a transaction fail unless the active version is the one that this replica shows. */
    public Txn guardVersion(Txn txn) {
        return txn.guard(Keys.VERSION, stamp(Keys.VERSION));
    }

    /** The revision at which a key last changed, 0 when it isn't there. */
    public long stamp(String key) {
        return stamps.getOrDefault(key, 0L);
    }

    /** How many jobs have come in since this process started. */
    public long jobsAdded() {
        return jobsAdded;
    }

    public JobView job(String id) {
        return jobs.get(id);
    }

    public Collection<JobView> jobs() {
        return jobs.values();
    }

    MachineRecord machine(String id) {
        return machines.getOrDefault(id, MachineRecord.NONE);
    }

    /** The list is replaced with every change, never altered: while it is the same object nothing has changed. */
    public List<Placement> placements(String machine) {
        return machine(machine).placements();
    }

    /** Images that were brought to a machine, with their sizes, the latest used last. */
    public Map<String, Double> images(String machine) {
        return machine(machine).images();
    }

    /** The zone of a machine that has a record. */
    public String placedZone(String machine) {
        return machine(machine).zone();
    }

    /** Machines that have a record, with or without placements. */
    public Set<String> placedMachines() {
        return machines.keySet();
    }

    /** Machines whose records changed since the last call. */
    public Set<String> takeChanged() {
        Set<String> taken = changed;
        changed = new HashSet<>();
        return taken;
    }

    public BlockLease block(String block) {
        return blocks.get(block);
    }

    public int blockCount() {
        return blocks.size();
    }

    public NodeInfo node(String name) {
        return nodes.get(name);
    }

    public Collection<NodeInfo> nodes() {
        return nodes.values();
    }

    public LeaderInfo leader() {
        return leader;
    }

    public long termCounter() {
        return termCounter;
    }

    public List<MachineType> types() {
        return types;
    }

    public MachineType type(String name) {
        for (MachineType t : types) {
            if (t.name().equals(name)) {
                return t;
            }
        }
        return null;
    }

    /** Number of the last entry of the work log. */
    public long sequence() {
        return sequence;
    }

    /** The region of the base that the next transaction should write anew, or null. */
    BaseIndex.Region foldDue() {
        BaseIndex.Region oldest = base.oldest();
        boolean due = WorkLog.isDue(oldest.number(), sequence, base.regionCount())
                || logFull()
                || inFirstVersion() && ring.newestBeyondFirstLayout() > oldest.number();
        return due ? oldest : null;
    }

    /** Whether a region has to be folded before the next entry may be written. */
    boolean logFull() {
        long complete = base.oldest().number();
        return inFirstVersion()
                ? ring.holdsNewerThan(complete, LogRing.firstLayoutKey(sequence + 1))
                : ring.isFull(ringCapacity(), complete);
    }

    /** Keys of the ring that the first layout doesn't know and that hold nothing of use any more; in the first version. */
    List<String> ringKeysToDelete() {
        return inFirstVersion() ? ring.beyondFirstLayout(base.oldest().number()) : List.of();
    }

    private boolean inFirstVersion() {
        return version.active() == Layouts.FIRST;
    }

    /** Whether what is stored is by the active version throughout: else the leader is still converting it. */
    public boolean isConverted() {
        return !inFirstVersion() || !base.isSplit() && ring.newestBeyondFirstLayout() == 0;
    }

    /** Whether some shard takes more than so many pages, which the first layout can't write any more, or soon can't. */
    public boolean hasOutgrownFirstLayout(int valueBytes, int pages) {
        long[] bytes = new long[WorkLog.SHARDS];
        machines.forEach((id, m) -> bytes[Bucket.shardOf(Bucket.hashOfMachine(id))] += WorkLog.size(id, m));
        jobs.forEach((id, job) -> {
            for (int i = 0; i < marks.get(id).parts(); i++) {
                String part = WorkLog.part(id, i);
                bytes[Bucket.shardOf(Bucket.hashOfPart(part))] += WorkLog.size(part, WorkLog.PART);
            }
        });
        return LongStream.of(bytes).max().orElse(0) > (long) pages * LogWriter.pageBytes(valueBytes);
    }

    /** The key of the last entry, or null when there is none. */
    String lastEntryKey() {
        return ring.keyOf(sequence);
    }

    /** The key that the next entry goes under. */
    String nextEntryKey() {
        return inFirstVersion() ? LogRing.firstLayoutKey(sequence + 1) : ring.next(ringCapacity());
    }

    private int ringCapacity() {
        return WorkLog.capacity(base.regionCount());
    }

    /** How the base is stored. */
    BaseIndex base() {
        return base;
    }

    /** The layout that what is stored needs a controller to know. */
    public int layout() {
        return base.isSplit() ? Layouts.SPLIT_BASE : Layouts.FIRST;
    }

    /** Everything that belongs to a bucket of the base, as of the last entry; what is of jobs that are over falls out. */
    WorkLog.Contents contents(Bucket bucket) {
        WorkLog.Contents c = new WorkLog.Contents(sequence, new LinkedHashMap<>(), new LinkedHashMap<>());
        machines.forEach((id, m) -> {
            if (bucket.contains(Bucket.hashOfMachine(id))) {
                c.machines().put(id, m);
            }
        });
        jobs.forEach((id, job) -> {
            JobView.Marks m = marks.get(id);
            for (int i = 0; i < m.parts(); i++) {
                String part = WorkLog.part(id, i);
                if (bucket.contains(Bucket.hashOfPart(part))) {
                    c.parts().put(part, m.part(i));
                }
            }
        });
        return c;
    }

    /**
     * Starts anew from a full listing; needed when the watch has lost the thread. The replica is torn afterwards when
     * the pages of a base are of different moments: a machine may have moved between them and be on neither.
     */
    public void reset(List<Change> all, long revision) {
        ledger = -1;
        changed.addAll(machines.keySet());
        jobs.clear();
        marks.clear();
        machines.clear();
        blocks.clear();
        nodes.clear();
        stamps.clear();
        types = List.of();
        leader = null;
        termCounter = 0;
        version = ClusterVersion.FIRST;
        unreadable = null;
        base = new BaseIndex();
        ring = new LogRing();
        torn = false;
        TreeMap<Long, WorkLog.Entry> entries = new TreeMap<>();
        BaseListing bases = new BaseListing();
        if (!canRead(all)) {
            return;
        }
        for (Change c : all) {
            stamps.put(c.key(), c.stamp());
            try {
                read(c, entries, bases);
            } catch (RuntimeException e) {
                refuse(c, e);
                return;
            }
        }
        base = bases.index();
        torn = bases.isTorn();
        bases.forEachMachine(this::applyMachine);
        bases.forEachPart(this::applyPart);
        baseRead = base.copy();
        baseReadUpTo = base.newest();
        // Pages of a listing are of different moments: behind the first gap are entries that the watch brings again.
        sequence = base.oldest().number();
        applyEntries(entries);
        ledger = torn ? -1 : revision;
    }

    private void read(Change c, TreeMap<Long, WorkLog.Entry> entries, BaseListing bases) {
        if (c.key().startsWith(Keys.LOG)) {
            noteEntry(c, entries);
        } else if (c.key().startsWith(Keys.BASE)) {
            bases.add(c.key(), c.value());
        } else {
            applyPlain(c);
        }
    }

    /** Whether the active version, if it is among the changes, is supported: nothing else is looked at before. */
    private boolean canRead(List<Change> changes) {
        for (Change c : changes) {
            if (c.key().equals(Keys.VERSION)) {
                try {
                    requireSupported(c);
                } catch (RuntimeException e) {
                    refuse(c, e);
                    return false;
                }
            }
        }
        return true;
    }

    private void requireSupported(Change c) {
        int active =
                c.value() == null ? Layouts.FIRST : Records.version(c.value()).active();
        if (!supported.contains(active)) {
            throw new IllegalArgumentException("version " + active + ", and this controller supports " + supported);
        }
    }

    /** A record that can't be read makes the whole replica one that decides nothing. */
    private void refuse(Change c, RuntimeException cause) {
        unreadable = c.key() + " as of revision " + c.stamp() + ": " + cause.getMessage();
        ledger = -1;
    }

    /** Applies what a watch brought; false when it was overtaken by a newer answer. */
    public boolean advance(List<Change> log, long revision) {
        if (revision <= ledger || unreadable != null) {
            return false;
        }
        if (!canRead(log)) {
            return true;
        }
        TreeMap<Long, WorkLog.Entry> entries = new TreeMap<>();
        List<String> over = new ArrayList<>();
        for (Change c : log) {
            try {
                follow(c, entries, over);
            } catch (RuntimeException e) {
                refuse(c, e);
                return true;
            }
        }
        applyEntries(entries);
        torn |= !entries.isEmpty() && entries.lastKey() > sequence;
        over.forEach(marks::remove);
        ledger = revision;
        return true;
    }

    private void follow(Change c, TreeMap<Long, WorkLog.Entry> entries, List<String> over) {
        // A page of a listing may be newer than the revision that the watch goes on from.
        if (c.stamp() <= ledger || c.stamp() < stamp(c.key())) {
            if (c.key().startsWith(Keys.LOG) && c.value() != null && c.stamp() > ledger) {
                addEntry(c, entries);
            }
            return;
        }
        if (c.value() == null) {
            stamps.remove(c.key());
        } else {
            stamps.put(c.key(), c.stamp());
        }
        if (c.key().startsWith(Keys.LOG)) {
            noteEntry(c, entries);
        } else if (c.key().startsWith(Keys.BASE)) {
            // What it says is in here already; only how far it goes matters, for the next fold.
            if (c.value() != null) {
                base.put(c.key(), WorkLog.numberOf(c.value()));
            } else {
                base.remove(c.key());
            }
        } else {
            applyPlain(c);
            if (c.value() == null && c.key().startsWith(Keys.JOB)) {
                over.add(c.key().substring(Keys.JOB.length()));
            }
        }
    }

    private void noteEntry(Change c, TreeMap<Long, WorkLog.Entry> entries) {
        if (c.value() == null) {
            ring.remove(c.key());
        } else {
            ring.put(c.key(), addEntry(c, entries));
        }
    }

    private static long addEntry(Change c, TreeMap<Long, WorkLog.Entry> entries) {
        WorkLog.Entry e = WorkLog.entry(c.value());
        entries.put(e.number(), e);
        return e.number();
    }

    /** Applies the entries that follow the last one without a gap. */
    private void applyEntries(TreeMap<Long, WorkLog.Entry> entries) {
        Map.Entry<Long, WorkLog.Entry> next = entries.higherEntry(sequence);
        while (next != null && next.getValue().before() == sequence) {
            applyEntry(next.getValue());
            next = entries.higherEntry(sequence);
        }
    }

    /** Bases read later than the entries may be ahead of them: what they hold is newer than such an entry says. */
    private void applyEntry(WorkLog.Entry e) {
        e.machines().forEach((id, delta) -> {
            if (isNews(e, Bucket.hashOfMachine(id))) {
                applyMachine(id, delta.applyTo(machine(id)));
            }
        });
        e.parts().forEach((part, set) -> {
            if (isNews(e, Bucket.hashOfPart(part))) {
                applyPart(part, set);
            }
        });
        sequence = e.number();
    }

    private boolean isNews(WorkLog.Entry e, int hash) {
        return e.number() > baseReadUpTo || e.number() > baseRead.regionOf(hash).number();
    }

    private void applyPlain(Change c) {
        String key = c.key();
        Object v = c.value();
        if (key.startsWith(Keys.JOB)) {
            applyJob(key.substring(Keys.JOB.length()), v, c.stamp());
        } else if (key.startsWith(Keys.BLOCK)) {
            put(blocks, key.substring(Keys.BLOCK.length()), v == null ? null : Records.block(v));
        } else if (key.startsWith(Keys.NODE)) {
            String name = key.substring(Keys.NODE.length());
            put(nodes, name, v == null ? null : Records.node(name, v));
        } else if (key.equals(Keys.LEADER)) {
            leader = v == null ? null : Records.leader(v);
        } else if (key.equals(Keys.TERM)) {
            termCounter = v == null ? 0 : Records.term(v);
        } else if (key.equals(Keys.VERSION)) {
            version = v == null ? ClusterVersion.FIRST : Records.version(v);
        } else if (key.equals(Keys.TYPES)) {
            types = v == null ? List.of() : Records.types(v);
        }
    }

    private void applyJob(String id, Object value, long stamp) {
        if (value == null) {
            jobs.remove(id);
            return;
        }
        if (jobs.put(id, new JobView(Records.job(id, value), stamp, marksOf(id))) == null) {
            jobsAdded++;
        }
    }

    private JobView.Marks marksOf(String job) {
        return marks.computeIfAbsent(job, k -> new JobView.Marks());
    }

    private void applyPart(String part, BitSet finished) {
        int slash = part.lastIndexOf('/');
        marksOf(part.substring(0, slash)).finish(Integer.parseInt(part.substring(slash + 1)), finished);
    }

    private void applyMachine(String id, MachineRecord next) {
        for (Placement p : placements(id)) {
            mark(p, false);
        }
        changed.add(id);
        if (next.zone() == null) {
            machines.remove(id);
            return;
        }
        machines.put(id, next);
        next.placements().forEach(p -> mark(p, true));
    }

    private void mark(Placement p, boolean on) {
        if (on) {
            marksOf(p.task().job()).place(p.task().index(), true);
        } else {
            JobView.Marks m = marks.get(p.task().job());
            if (m != null) {
                m.place(p.task().index(), false);
            }
        }
    }

    private static <T> void put(Map<String, T> map, String key, T value) {
        if (value == null) {
            map.remove(key);
        } else {
            map.put(key, value);
        }
    }
}
