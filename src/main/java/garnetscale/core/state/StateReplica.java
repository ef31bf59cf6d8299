package garnetscale.core.state;

import garnetscale.core.cluster.ControllerInfo;
import garnetscale.core.cluster.LeaderInfo;
import garnetscale.core.cluster.PartitionLease;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.upgrade.ClusterVersion;
import garnetscale.core.upgrade.VersionRange;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A controller's copy of the live part of the key-value store (everything under {@link Keys#MIRRORED}) as of one
 * revision. It is loaded from a listing, follows a watch, and only moves forward: overtaken answers change nothing.
 */
public final class StateReplica {

    private static final long NOT_LOADED = -1;

    private final ClusterState cluster = new ClusterState();
    private final JobViews jobs = new JobViews();
    private final MachineRecords machines = new MachineRecords(jobs);
    private final LogReplica log = new LogReplica(cluster, jobs, machines);
    private final VersionGate gate;
    private final ChangeReader reader;
    private long revision = NOT_LOADED;

    /** A replica that reads whatever this program supports. */
    public StateReplica() {
        this(Layouts.SUPPORTED);
    }

    /** A replica of a controller that supports these versions. */
    public StateReplica(VersionRange supported) {
        gate = new VersionGate(supported);
        reader = new ChangeReader(gate, cluster, jobs, log);
    }

    // ---- what it is a copy of

    /** The revision that this is a copy as of, negative while nothing is loaded. */
    public long revision() {
        return revision;
    }

    /** Whether it holds a complete copy. */
    public boolean isLoaded() {
        return revision >= 0;
    }

    /** Whether entries of the work log or pages of its snapshot are missing: only a new listing helps. */
    public boolean isInconsistent() {
        return log.isInconsistent();
    }

    /**
     * Which record this controller can't read, and why; null while it can read all. The replica isn't loaded then, and
     * its controller decides nothing.
     */
    public String unreadable() {
        return gate.unreadable();
    }

    /** The revision at which a key last changed, 0 when it doesn't exist. */
    public long modRevision(String key) {
        return reader.modRevision(key);
    }

    /** Makes a transaction fail unless the active version is the one that this replica shows. */
    public Transaction guardVersion(Transaction transaction) {
        return transaction.guard(Keys.VERSION, modRevision(Keys.VERSION));
    }

    // ---- jobs and machines

    /** How many jobs have come in since this process started. */
    public long jobsAdded() {
        return jobs.added();
    }

    /** A job that hasn't been removed, or null. */
    public JobView job(String id) {
        return jobs.get(id);
    }

    /** All jobs that haven't been removed, in the order in which they became known. */
    public Collection<JobView> jobs() {
        return jobs.all();
    }

    MachineRecord machine(String id) {
        return machines.get(id);
    }

    /** The list is replaced with every change, never altered: while it is the same object nothing has changed. */
    public List<Placement> placements(String machine) {
        return machine(machine).placements();
    }

    /** Images in a machine's cache, with their sizes in GB, the latest used last. */
    public Map<String, Double> images(String machine) {
        return machine(machine).images();
    }

    /** The zone of a machine that has a record, else null. */
    public String zoneOfMachine(String machine) {
        return machine(machine).zone();
    }

    /** Machines that have a record, with or without placements. */
    public Set<String> placedMachines() {
        return machines.ids();
    }

    /** Machines whose records changed since the last call. */
    public Set<String> takeChangedMachines() {
        return machines.takeChanged();
    }

    // ---- the cluster

    /** The lease of a partition, or null when it was never leased. */
    public PartitionLease partition(String partition) {
        return cluster.partition(partition);
    }

    /** How many partitions have a lease. */
    public int partitionCount() {
        return cluster.partitionCount();
    }

    /** A live controller, or null. */
    public ControllerInfo controller(String name) {
        return cluster.controller(name);
    }

    /** Live controllers, by name. */
    public Collection<ControllerInfo> controllers() {
        return cluster.controllers();
    }

    /** The leader, or null while there is none. */
    public LeaderInfo leader() {
        return cluster.leader();
    }

    /** The highest term that was ever given out. */
    public long termCounter() {
        return cluster.termCounter();
    }

    /** The machine types that the cloud offers. */
    public List<MachineType> types() {
        return cluster.types();
    }

    /** The machine type of this name, or null. */
    public MachineType type(String name) {
        return cluster.type(name);
    }

    /** The version of the stored state that is active for the whole cluster. */
    public ClusterVersion version() {
        return cluster.version();
    }

    // ---- the work log

    /** The work log as far as writing its next entry needs it. */
    LogReplica log() {
        return log;
    }

    /** Number of the last entry of the work log that was applied. */
    public long sequence() {
        return log.sequence();
    }

    /** Whether everything is stored as the active version says: else the leader is still converting it. */
    public boolean isConverted() {
        return log.isConverted();
    }

    /**
     * Whether some shard takes more than {@code pages} pages, which the first layout can't write, or soon can't.
     *
     * @param valueBytes the most bytes that a value may have
     */
    public boolean hasOutgrownFirstLayout(int valueBytes, int pages) {
        return log.hasOutgrownFirstLayout(valueBytes, pages);
    }

    /** The layout that a controller has to know to read what is stored. */
    public int layout() {
        return log.layout();
    }

    // ---- listings and watches

    /**
     * Loads a full listing in place of what it holds, at first and when a watch has lost changes. Afterwards the replica isn't loaded, and
     * is inconsistent, when the pages of a snapshot are of different moments: a machine may have moved between them and be
     * on neither. It isn't loaded either when a record can't be read.
     *
     * @param all         every key under {@link Keys#MIRRORED}, in the order of the listing
     * @param newRevision the revision of the listing's first page
     */
    public void reset(List<KeyChange> all, long newRevision) {
        clear();
        if (reader.load(all) && !log.isInconsistent()) {
            revision = newRevision;
        }
    }

    private void clear() {
        revision = NOT_LOADED;
        machines.clear();
        jobs.clear();
        cluster.clear();
        log.clear();
        reader.clear();
        gate.open();
    }

    /**
     * Applies what a watch brought; false when it was overtaken by a newer answer. Afterwards the replica isn't loaded when a
     * record can't be read, and is inconsistent when entries of the work log are missing.
     *
     * @param changes     all changes after {@link #revision()}, in their order
     * @param newRevision the revision that they lead to
     */
    public boolean advance(List<KeyChange> changes, long newRevision) {
        if (newRevision <= revision || gate.unreadable() != null) {
            return false;
        }
        revision = reader.follow(changes, revision) ? newRevision : NOT_LOADED;
        return true;
    }
}
