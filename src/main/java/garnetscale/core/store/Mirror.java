package garnetscale.core.store;

import garnetscale.core.block.BlockLease;
import garnetscale.core.block.LeaderInfo;
import garnetscale.core.block.NodeInfo;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A node's copy of what is alive in the state service, as of one revision. It only moves forward: answers that
 * were overtaken change nothing.
 */
public final class Mirror {

    private final Map<String, JobView> jobs = new LinkedHashMap<>();
    private final Map<String, List<Placement>> placements = new TreeMap<>();
    private final Map<String, String> placedZones = new HashMap<>();
    private final Map<String, Map<String, Double>> images = new HashMap<>();
    private final Map<String, BlockLease> blocks = new HashMap<>();
    private final Map<String, NodeInfo> nodes = new TreeMap<>();
    private final Map<String, Long> stamps = new HashMap<>();
    private final Map<String, Set<Integer>> shards = new HashMap<>();
    private List<MachineType> types = List.of();
    private LeaderInfo leader;
    private long termCounter;
    private long ledger = -1;

    public long ledger() {
        return ledger;
    }

    public boolean loaded() {
        return ledger >= 0;
    }

    /** The revision at which a key last changed, 0 when it isn't there. */
    public long stamp(String key) {
        return stamps.getOrDefault(key, 0L);
    }

    public JobView job(String id) {
        return jobs.get(id);
    }

    public Collection<JobView> jobs() {
        return jobs.values();
    }

    public List<Placement> placements(String machine) {
        return placements.getOrDefault(machine, List.of());
    }

    /** Images that were brought to a machine, with their sizes, the latest used last. */
    public Map<String, Double> images(String machine) {
        return images.getOrDefault(machine, Map.of());
    }

    /** The zone of a machine that has a record. */
    public String placedZone(String machine) {
        return placedZones.get(machine);
    }

    /** Machines that have a record, with or without placements. */
    public Set<String> placedMachines() {
        return placements.keySet();
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

    /** The shards that a job's finished set has in the store, for its removal. */
    public Set<Integer> finishedShards(String job) {
        return shards.getOrDefault(job, Set.of());
    }

    /** Starts anew from a full listing; needed when the watch has lost the thread. */
    public void reset(List<Change> all, long revision) {
        jobs.clear();
        placements.clear();
        placedZones.clear();
        images.clear();
        blocks.clear();
        nodes.clear();
        stamps.clear();
        shards.clear();
        types = List.of();
        leader = null;
        termCounter = 0;
        for (Change c : all) {
            if (c.key().startsWith(Keys.JOB)) {
                apply(c);
            }
        }
        for (Change c : all) {
            if (!c.key().startsWith(Keys.JOB)) {
                apply(c);
            }
        }
        ledger = revision;
    }

    /** Applies what a watch brought; false when it was overtaken by a newer answer. */
    public boolean advance(List<Change> log, long revision) {
        if (revision <= ledger) {
            return false;
        }
        for (Change c : log) {
            if (c.stamp() > ledger) {
                apply(c);
            }
        }
        ledger = revision;
        return true;
    }

    private void apply(Change c) {
        // A page of a listing may be newer than the revision that the watch goes on from.
        if (c.stamp() < stamp(c.key())) {
            return;
        }
        if (c.value() == null) {
            stamps.remove(c.key());
        } else {
            stamps.put(c.key(), c.stamp());
        }
        String key = c.key();
        Object v = c.value();
        if (key.startsWith(Keys.JOB)) {
            applyJob(key.substring(Keys.JOB.length()), v, c.stamp());
        } else if (key.startsWith(Keys.FINISHED)) {
            int slash = key.lastIndexOf('/');
            applyFinished(key.substring(Keys.FINISHED.length(), slash), Integer.parseInt(key.substring(slash + 1)), v);
        } else if (key.startsWith(Keys.PLACED)) {
            applyPlaced(key.substring(Keys.PLACED.length()), v);
        } else if (key.startsWith(Keys.BLOCK)) {
            put(blocks, key.substring(Keys.BLOCK.length()), v == null ? null : Records.block(v));
        } else if (key.startsWith(Keys.NODE)) {
            String name = key.substring(Keys.NODE.length());
            put(nodes, name, v == null ? null : Records.node(name, v));
        } else if (key.equals(Keys.LEADER)) {
            leader = v == null ? null : Records.leader(v);
        } else if (key.equals(Keys.TERM)) {
            termCounter = v == null ? 0 : Records.term(v);
        } else if (key.equals(Keys.TYPES)) {
            types = v == null ? List.of() : Records.types(v);
        }
    }

    private void applyJob(String id, Object value, long stamp) {
        if (value == null) {
            jobs.remove(id);
            return;
        }
        jobs.put(id, new JobView(Records.job(id, value), stamp, jobs.get(id)));
    }

    private void applyFinished(String job, int shard, Object value) {
        JobView view = jobs.get(job);
        if (value == null) {
            Set<Integer> left = shards.get(job);
            if (left != null && left.remove(shard) && left.isEmpty()) {
                shards.remove(job);
            }
        } else {
            shards.computeIfAbsent(job, k -> new HashSet<>()).add(shard);
        }
        if (view != null) {
            view.finish(shard, value == null ? new BitSet() : Records.finished(value));
        }
    }

    private void applyPlaced(String machine, Object value) {
        for (Placement p : placements(machine)) {
            mark(p, false);
        }
        if (value == null) {
            placements.remove(machine);
            placedZones.remove(machine);
            images.remove(machine);
            return;
        }
        List<Placement> list = Records.placements(value);
        placements.put(machine, list);
        placedZones.put(machine, Records.zone(value));
        images.put(machine, Records.images(value));
        list.forEach(p -> mark(p, true));
    }

    private void mark(Placement p, boolean on) {
        JobView view = jobs.get(p.task().job());
        if (view != null) {
            view.place(p.task().index(), on);
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
