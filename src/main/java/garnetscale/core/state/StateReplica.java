package garnetscale.core.state;

import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.partition.ControllerInfo;
import garnetscale.core.partition.LeaderInfo;
import garnetscale.core.partition.PartitionLease;
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
    private final Map<String, PartitionLease> partitions = new HashMap<>();
    private final Map<String, ControllerInfo> nodes = new TreeMap<>();
    private final Map<String, Long> modRevisions = new HashMap<>();
    /** Machines whose record changed since these were last taken. */
    private Set<String> changed = new HashSet<>();

    private SnapshotIndex snapshot = new SnapshotIndex();
    private LogRingBuffer ringBuffer = new LogRingBuffer();
    /** How far the base went when it was read: of what it held no older entry is news. */
    private SnapshotIndex snapshotRead = snapshot;

    private long snapshotReadUpTo;

    private List<MachineType> types = List.of();
    private LeaderInfo leader;
    private long termCounter;
    private long revision = -1;
    /** The last entry of the work log that is in here. */
    private long sequence;

    private boolean inconsistent;
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

    public long revision() {
        return revision;
    }

    public boolean loaded() {
        return revision >= 0;
    }

    /** Whether entries of the work log are missing: only a new listing helps. */
    public boolean inconsistent() {
        return inconsistent;
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
    public Transaction guardVersion(Transaction transaction) {
        return transaction.guard(Keys.VERSION, modRevision(Keys.VERSION));
    }

    /** The revision at which a key last changed, 0 when it isn't there. */
    public long modRevision(String key) {
        return modRevisions.getOrDefault(key, 0L);
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

    public PartitionLease partition(String partition) {
        return partitions.get(partition);
    }

    public int partitionCount() {
        return partitions.size();
    }

    public ControllerInfo node(String name) {
        return nodes.get(name);
    }

    public Collection<ControllerInfo> nodes() {
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
    SnapshotIndex.Region compactionDue() {
        SnapshotIndex.Region oldest = snapshot.oldest();
        boolean due = WorkLog.isDue(oldest.number(), sequence, snapshot.regionCount())
                || logFull()
                || inFirstVersion() && ringBuffer.newestBeyondFirstLayout() > oldest.number();
        return due ? oldest : null;
    }

    /** Whether a region has to be folded before the next entry may be written. */
    boolean logFull() {
        long complete = snapshot.oldest().number();
        return inFirstVersion()
                ? ringBuffer.holdsNewerThan(complete, LogRingBuffer.firstLayoutKey(sequence + 1))
                : ringBuffer.isFull(ringBufferCapacity(), complete);
    }

    /** Keys of the ring that the first layout doesn't know and that hold nothing of use any more; in the first version. */
    List<String> ringBufferKeysToDelete() {
        return inFirstVersion() ? ringBuffer.beyondFirstLayout(snapshot.oldest().number()) : List.of();
    }

    private boolean inFirstVersion() {
        return version.active() == Layouts.FIRST;
    }

    /** Whether what is stored is by the active version throughout: else the leader is still converting it. */
    public boolean isConverted() {
        return !inFirstVersion() || !snapshot.isSplit() && ringBuffer.newestBeyondFirstLayout() == 0;
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
        return ringBuffer.keyOf(sequence);
    }

    /** The key that the next entry goes under. */
    String nextEntryKey() {
        return inFirstVersion() ? LogRingBuffer.firstLayoutKey(sequence + 1) : ringBuffer.next(ringBufferCapacity());
    }

    private int ringBufferCapacity() {
        return WorkLog.capacity(snapshot.regionCount());
    }

    /** How the base is stored. */
    SnapshotIndex snapshot() {
        return snapshot;
    }

    /** The layout that what is stored needs a controller to know. */
    public int layout() {
        return snapshot.isSplit() ? Layouts.SPLIT_SNAPSHOT : Layouts.FIRST;
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
    public void reset(List<KeyChange> all, long newRevision) {
        revision = -1;
        changed.addAll(machines.keySet());
        jobs.clear();
        marks.clear();
        machines.clear();
        partitions.clear();
        nodes.clear();
        modRevisions.clear();
        types = List.of();
        leader = null;
        termCounter = 0;
        version = ClusterVersion.FIRST;
        unreadable = null;
        snapshot = new SnapshotIndex();
        ringBuffer = new LogRingBuffer();
        inconsistent = false;
        TreeMap<Long, WorkLog.Entry> entries = new TreeMap<>();
        SnapshotListing snapshots = new SnapshotListing();
        if (!canRead(all)) {
            return;
        }
        for (KeyChange c : all) {
            modRevisions.put(c.key(), c.modRevision());
            try {
                read(c, entries, snapshots);
            } catch (RuntimeException e) {
                refuse(c, e);
                return;
            }
        }
        snapshot = snapshots.index();
        inconsistent = snapshots.isInconsistent();
        snapshots.forEachMachine(this::applyMachine);
        snapshots.forEachPart(this::applyPart);
        snapshotRead = snapshot.copy();
        snapshotReadUpTo = snapshot.newest();
        // Pages of a listing are of different moments: behind the first gap are entries that the watch brings again.
        sequence = snapshot.oldest().number();
        applyEntries(entries);
        revision = inconsistent ? -1 : newRevision;
    }

    private void read(KeyChange c, TreeMap<Long, WorkLog.Entry> entries, SnapshotListing snapshots) {
        if (c.key().startsWith(Keys.LOG)) {
            noteEntry(c, entries);
        } else if (c.key().startsWith(Keys.SNAPSHOT)) {
            snapshots.add(c.key(), c.value());
        } else {
            applyPlain(c);
        }
    }

    /** Whether the active version, if it is among the changes, is supported: nothing else is looked at before. */
    private boolean canRead(List<KeyChange> changes) {
        for (KeyChange c : changes) {
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

    private void requireSupported(KeyChange c) {
        int active =
                c.value() == null ? Layouts.FIRST : Records.version(c.value()).active();
        if (!supported.contains(active)) {
            throw new IllegalArgumentException("version " + active + ", and this controller supports " + supported);
        }
    }

    /** A record that can't be read makes the whole replica one that decides nothing. */
    private void refuse(KeyChange c, RuntimeException cause) {
        unreadable = c.key() + " as of revision " + c.modRevision() + ": " + cause.getMessage();
        revision = -1;
    }

    /** Applies what a watch brought; false when it was overtaken by a newer answer. */
    public boolean advance(List<KeyChange> log, long newRevision) {
        if (newRevision <= revision || unreadable != null) {
            return false;
        }
        if (!canRead(log)) {
            return true;
        }
        TreeMap<Long, WorkLog.Entry> entries = new TreeMap<>();
        List<String> over = new ArrayList<>();
        for (KeyChange c : log) {
            try {
                follow(c, entries, over);
            } catch (RuntimeException e) {
                refuse(c, e);
                return true;
            }
        }
        applyEntries(entries);
        inconsistent |= !entries.isEmpty() && entries.lastKey() > sequence;
        over.forEach(marks::remove);
        revision = newRevision;
        return true;
    }

    private void follow(KeyChange c, TreeMap<Long, WorkLog.Entry> entries, List<String> over) {
        // A page of a listing may be newer than the revision that the watch goes on from.
        if (c.modRevision() <= revision || c.modRevision() < modRevision(c.key())) {
            if (c.key().startsWith(Keys.LOG) && c.value() != null && c.modRevision() > revision) {
                addEntry(c, entries);
            }
            return;
        }
        if (c.value() == null) {
            modRevisions.remove(c.key());
        } else {
            modRevisions.put(c.key(), c.modRevision());
        }
        if (c.key().startsWith(Keys.LOG)) {
            noteEntry(c, entries);
        } else if (c.key().startsWith(Keys.SNAPSHOT)) {
            // What it says is in here already; only how far it goes matters, for the next fold.
            if (c.value() != null) {
                snapshot.put(c.key(), WorkLog.numberOf(c.value()));
            } else {
                snapshot.remove(c.key());
            }
        } else {
            applyPlain(c);
            if (c.value() == null && c.key().startsWith(Keys.JOB)) {
                over.add(c.key().substring(Keys.JOB.length()));
            }
        }
    }

    private void noteEntry(KeyChange c, TreeMap<Long, WorkLog.Entry> entries) {
        if (c.value() == null) {
            ringBuffer.remove(c.key());
        } else {
            ringBuffer.put(c.key(), addEntry(c, entries));
        }
    }

    private static long addEntry(KeyChange c, TreeMap<Long, WorkLog.Entry> entries) {
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
        return e.number() > snapshotReadUpTo
                || e.number() > snapshotRead.regionOf(hash).number();
    }

    private void applyPlain(KeyChange c) {
        String key = c.key();
        Object v = c.value();
        if (key.startsWith(Keys.JOB)) {
            applyJob(key.substring(Keys.JOB.length()), v, c.modRevision());
        } else if (key.startsWith(Keys.PARTITION)) {
            put(partitions, key.substring(Keys.PARTITION.length()), v == null ? null : Records.partition(v));
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

    private void applyJob(String id, Object value, long modRevision) {
        if (value == null) {
            jobs.remove(id);
            return;
        }
        if (jobs.put(id, new JobView(Records.job(id, value), modRevision, marksOf(id))) == null) {
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
