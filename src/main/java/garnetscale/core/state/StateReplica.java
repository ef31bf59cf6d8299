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
 * A controller's copy of the live part of the state service's contents (all keys under {@link Keys#REPLICATED}) as of one
 * revision. It is loaded from a listing and then updated from a watch. Between listings its revision only increases: stale
 * watch responses are ignored.
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

    /** Creates an empty replica that reads every layout version that this program supports. */
    public StateReplica() {
        this(Layouts.SUPPORTED);
    }

    /** Creates an empty replica for a controller that supports these layout versions. */
    public StateReplica(VersionRange supported) {
        gate = new VersionGate(supported);
        reader = new ChangeReader(gate, cluster, jobs, log);
    }

    // ---- revision and consistency

    /** Returns the state service's revision that this replica reflects, negative while nothing is loaded. */
    public long revision() {
        return revision;
    }

    /** Returns whether the replica reflects a revision. It may still lack work log entries: see {@link #isInconsistent}. */
    public boolean isLoaded() {
        return revision >= 0;
    }

    /** Returns whether work log entries or snapshot pages are missing, so that a new listing is required. */
    public boolean isInconsistent() {
        return log.isInconsistent();
    }

    /**
     * Returns the key, the revision and the error of the record that this controller can't read, or null if it can read
     * all. While a record can't be read, the replica isn't loaded and its controller makes no decisions.
     */
    public String unreadable() {
        return gate.unreadable();
    }

    /** Returns the revision at which a key last changed, or 0 if the key doesn't exist. */
    public long modRevision(String key) {
        return reader.modRevision(key);
    }

    /** Adds a guard that fails the transaction unless the active version is still the one in this replica. */
    public Transaction guardVersion(Transaction transaction) {
        return transaction.guard(Keys.VERSION, modRevision(Keys.VERSION));
    }

    // ---- jobs and machines

    /** Returns how many jobs have been added to this replica since the process started, including those in listings. */
    public long jobsAdded() {
        return jobs.added();
    }

    /** Returns a job, or null if there is none or it was removed. */
    public JobView job(String id) {
        return jobs.get(id);
    }

    /** Returns all jobs that haven't been removed, in the order in which the replica received them. */
    public Collection<JobView> jobs() {
        return jobs.all();
    }

    MachineRecord machine(String id) {
        return machines.get(id);
    }

    /**
     * Returns the placements on a machine, empty if it has no record. The list is replaced on every change and never
     * modified, so the same list object means that nothing has changed.
     */
    public List<Placement> placements(String machine) {
        return machine(machine).placements();
    }

    /** Returns the images in a machine's cache with their sizes in GB, in order of use, the most recently used last. */
    public Map<String, Double> images(String machine) {
        return machine(machine).images();
    }

    /** Returns the zone of a machine, or null if the machine has no record. */
    public String zoneOfMachine(String machine) {
        return machine(machine).zone();
    }

    /** Returns the machines that have a record, with or without placements. */
    public Set<String> machinesWithRecords() {
        return machines.ids();
    }

    /** Returns the machines whose records changed since the last call. */
    public Set<String> takeChangedMachines() {
        return machines.takeChanged();
    }

    // ---- the cluster

    /** Returns the lease of a partition, or null if it was never leased. */
    public PartitionLease partition(String partition) {
        return cluster.partition(partition);
    }

    /** Returns the number of partitions that have a lease. */
    public int partitionCount() {
        return cluster.partitionCount();
    }

    /** Returns a live controller, or null if no live controller has this name. */
    public ControllerInfo controller(String name) {
        return cluster.controller(name);
    }

    /** Returns the live controllers, sorted by name. */
    public Collection<ControllerInfo> controllers() {
        return cluster.controllers();
    }

    /** Returns the leader, or null while there is none. */
    public LeaderInfo leader() {
        return cluster.leader();
    }

    /** Returns the highest leader term ever issued, 0 if none was. */
    public long termCounter() {
        return cluster.termCounter();
    }

    /** Returns the machine types that the cloud offers. */
    public List<MachineType> types() {
        return cluster.types();
    }

    /** Returns the machine type with this name, or null if there is none. */
    public MachineType type(String name) {
        return cluster.type(name);
    }

    /** Returns the layout version that is active for the whole cluster. */
    public ClusterVersion version() {
        return cluster.version();
    }

    // ---- the work log

    /** Returns the replica of the work log, from which the next entry is written. */
    LogReplica log() {
        return log;
    }

    /** Returns the sequence number of the last work log entry that was applied. */
    public long sequence() {
        return log.sequence();
    }

    /**
     * Returns whether all records are stored in a form that the active version allows. If not, the leader is still converting
     * them to the first layout.
     */
    public boolean isConverted() {
        return log.isConverted();
    }

    /**
     * Returns whether any shard needs more than {@code pages} pages of the first layout, which then can't write the shard or
     * soon won't be able to.
     *
     * @param valueBytes the maximum size of a stored value, in bytes
     * @param pages      the maximum number of pages of a shard
     */
    public boolean hasOutgrownFirstLayout(int valueBytes, int pages) {
        return log.hasOutgrownFirstLayout(valueBytes, pages);
    }

    /** Returns the layout version that a controller must support to read the stored work log. */
    public int layout() {
        return log.layout();
    }

    // ---- listings and watches

    /**
     * Replaces the contents with a full listing, at first and after a watch has lost changes. If the listed pages of a shard
     * don't match because they were read at different revisions, the replica is inconsistent and isn't loaded: a machine may
     * have moved between two pages and be in neither. It isn't loaded either if a record can't be read.
     *
     * @param all         every key under {@link Keys#REPLICATED}, in the order of the listing
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
     * Applies the changes from a watch response. Afterwards the replica isn't loaded if a record can't be read, and is
     * inconsistent if work log entries are missing.
     *
     * @param changes     all changes after {@link #revision()}, or at least the last one of each changed key, in any order
     * @param newRevision the state service's revision after these changes
     * @return false if nothing was applied, because the response is stale or an earlier record couldn't be read
     */
    public boolean advance(List<KeyChange> changes, long newRevision) {
        if (newRevision <= revision || gate.unreadable() != null) {
            return false;
        }
        revision = reader.advance(changes, revision) ? newRevision : NOT_LOADED;
        return true;
    }
}
