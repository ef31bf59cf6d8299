package garnetscale.core.state;

import garnetscale.core.cluster.ControllerInfo;
import garnetscale.core.cluster.LeaderInfo;
import garnetscale.core.cluster.PartitionLease;
import garnetscale.core.machine.MachineType;
import garnetscale.core.upgrade.ClusterVersion;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The replica's copy of the keys that each hold one complete record: controllers, partition leases, the leader and its
 * term, machine types, and the active version.
 */
final class ClusterState {

    private final Map<String, PartitionLease> partitions = new HashMap<>();
    private final Map<String, ControllerInfo> controllers = new TreeMap<>();
    private List<MachineType> types = List.of();
    private LeaderInfo leader;
    private long termCounter;
    private ClusterVersion version = ClusterVersion.FIRST;

    void clear() {
        partitions.clear();
        controllers.clear();
        types = List.of();
        leader = null;
        termCounter = 0;
        version = ClusterVersion.FIRST;
    }

    /** Applies a put or a delete; other keys are ignored. */
    void apply(KeyChange change) {
        String key = change.key();
        Object value = change.value();
        if (key.startsWith(Keys.PARTITION)) {
            putOrRemove(
                    partitions,
                    key.substring(Keys.PARTITION.length()),
                    value == null ? null : Records.partition(value));
        } else if (key.startsWith(Keys.CONTROLLER)) {
            String name = key.substring(Keys.CONTROLLER.length());
            putOrRemove(controllers, name, value == null ? null : Records.controller(name, value));
        } else if (key.equals(Keys.LEADER)) {
            leader = value == null ? null : Records.leader(value);
        } else if (key.equals(Keys.TERM)) {
            termCounter = value == null ? 0 : Records.term(value);
        } else if (key.equals(Keys.VERSION)) {
            version = value == null ? ClusterVersion.FIRST : Records.version(value);
        } else if (key.equals(Keys.TYPES)) {
            types = value == null ? List.of() : Records.types(value);
        }
    }

    private static <T> void putOrRemove(Map<String, T> records, String key, T value) {
        if (value == null) {
            records.remove(key);
        } else {
            records.put(key, value);
        }
    }

    /** Returns the lease of a partition, or null if it was never leased. */
    PartitionLease partition(String partition) {
        return partitions.get(partition);
    }

    int partitionCount() {
        return partitions.size();
    }

    /** Returns a live controller, or null if no live controller has this name. */
    ControllerInfo controller(String name) {
        return controllers.get(name);
    }

    /** Returns the live controllers, sorted by name. */
    Collection<ControllerInfo> controllers() {
        return controllers.values();
    }

    /** Returns the leader, or null while there is none. */
    LeaderInfo leader() {
        return leader;
    }

    /** Returns the highest leader term ever issued, 0 if none was. */
    long termCounter() {
        return termCounter;
    }

    List<MachineType> types() {
        return types;
    }

    /** Returns the machine type with this name, or null if there is none. */
    MachineType type(String name) {
        for (MachineType type : types) {
            if (type.name().equals(name)) {
                return type;
            }
        }
        return null;
    }

    ClusterVersion version() {
        return version;
    }

    /** Returns whether the work log has to be written in the first layout. */
    boolean isFirstLayoutActive() {
        return version.active() == Layouts.FIRST;
    }
}
