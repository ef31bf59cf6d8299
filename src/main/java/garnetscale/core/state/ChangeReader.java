package garnetscale.core.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decodes keys from a listing or a watch and passes each to the part of the replica that it belongs to. The first record
 * that can't be decoded closes the {@link VersionGate}, and nothing after it is read.
 */
final class ChangeReader {

    private final VersionGate gate;
    private final ClusterState cluster;
    private final JobViews jobs;
    private final LogReplica log;
    private final Map<String, Long> modRevisions = new HashMap<>();

    ChangeReader(VersionGate gate, ClusterState cluster, JobViews jobs, LogReplica log) {
        this.gate = gate;
        this.cluster = cluster;
        this.jobs = jobs;
        this.log = log;
    }

    void clear() {
        modRevisions.clear();
    }

    /** Returns the revision at which a key last changed, or 0 if the key doesn't exist. */
    long modRevision(String key) {
        return modRevisions.getOrDefault(key, 0L);
    }

    /** Loads a full listing; returns false if it can't be read. */
    boolean load(List<KeyChange> listing) {
        TreeMap<Long, WorkLog.Entry> entries = new TreeMap<>();
        SnapshotListing snapshots = new SnapshotListing();
        if (!gate.admits(listing) || !readListing(listing, entries, snapshots)) {
            return false;
        }
        log.load(snapshots, entries);
        return true;
    }

    @SuppressWarnings("IllegalCatch") // a malformed record fails to decode in many ways, and all of them close the gate
    private boolean readListing(
            List<KeyChange> listing, TreeMap<Long, WorkLog.Entry> entries, SnapshotListing snapshots) {
        for (KeyChange listed : listing) {
            modRevisions.put(listed.key(), listed.modRevision());
            try {
                readListed(listed, entries, snapshots);
            } catch (RuntimeException e) {
                gate.close(listed, e.getMessage());
                return false;
            }
        }
        return true;
    }

    private void readListed(KeyChange listed, TreeMap<Long, WorkLog.Entry> entries, SnapshotListing snapshots) {
        if (listed.key().startsWith(Keys.LOG)) {
            log.trackEntry(listed, entries);
        } else if (listed.key().startsWith(Keys.SNAPSHOT)) {
            snapshots.add(listed.key(), listed.value());
        } else {
            applyRecord(listed);
        }
    }

    /** Applies the changes after {@code revision} from a watch, given in any order; returns false if they can't be read. */
    boolean advance(List<KeyChange> changes, long revision) {
        if (!gate.admits(changes)) {
            return false;
        }
        TreeMap<Long, WorkLog.Entry> entries = new TreeMap<>();
        List<String> removedJobs = new ArrayList<>();
        if (!readChanges(oldestFirst(changes), revision, entries, removedJobs)) {
            return false;
        }
        log.advance(entries);
        jobs.dropProgress(removedJobs);
        return true;
    }

    /**
     * Returns the changes by revision. The protocol leaves the order of an answer open, and a removed key leaves no revision by which an
     * older change of it could be told from a newer one. No transaction changes a key twice, so that the order of changes of one
     * revision doesn't matter.
     */
    private static List<KeyChange> oldestFirst(List<KeyChange> changes) {
        List<KeyChange> sorted = new ArrayList<>(changes);
        sorted.sort(Comparator.comparingLong(KeyChange::modRevision));
        return sorted;
    }

    @SuppressWarnings("IllegalCatch") // a malformed record fails to decode in many ways, and all of them close the gate
    private boolean readChanges(
            List<KeyChange> changes, long revision, TreeMap<Long, WorkLog.Entry> entries, List<String> removedJobs) {
        for (KeyChange change : changes) {
            try {
                if (isCurrent(change, revision)) {
                    readChange(change, entries, removedJobs);
                } else {
                    readSuperseded(change, revision, entries);
                }
            } catch (RuntimeException e) {
                gate.close(change, e.getMessage());
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether a change is at least as recent as what the replica holds; changes are passed oldest first. The replica may hold a newer value, since a
     * page of a listing may be newer than the revision from which the watch continues.
     */
    private boolean isCurrent(KeyChange change, long revision) {
        return change.modRevision() > revision && change.modRevision() >= modRevision(change.key());
    }

    /**
     * Adds a log entry whose key was listed with a newer entry. The older entry is still needed, since entries are applied
     * without a gap.
     */
    private void readSuperseded(KeyChange change, long revision, TreeMap<Long, WorkLog.Entry> entries) {
        if (change.key().startsWith(Keys.LOG) && change.value() != null && change.modRevision() > revision) {
            LogReplica.addEntry(change, entries);
        }
    }

    private void readChange(KeyChange change, TreeMap<Long, WorkLog.Entry> entries, List<String> removedJobs) {
        String key = change.key();
        if (change.value() == null) {
            modRevisions.remove(key);
        } else {
            modRevisions.put(key, change.modRevision());
        }
        if (key.startsWith(Keys.LOG)) {
            log.trackEntry(change, entries);
        } else if (key.startsWith(Keys.SNAPSHOT)) {
            log.trackSnapshotPage(change);
        } else {
            applyRecord(change);
            if (change.value() == null && key.startsWith(Keys.JOB)) {
                removedJobs.add(key.substring(Keys.JOB.length()));
            }
        }
    }

    private void applyRecord(KeyChange change) {
        if (change.key().startsWith(Keys.JOB)) {
            jobs.apply(change.key().substring(Keys.JOB.length()), change.value(), change.modRevision());
        } else {
            cluster.apply(change);
        }
    }
}
