package garnetscale.core.autoscaling;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.job.JobSpec;
import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineAddress;
import garnetscale.core.machine.MachineType;
import garnetscale.core.partition.MachineStatus;
import garnetscale.core.queue.JobOrder;
import garnetscale.core.queue.JobQueue;
import garnetscale.core.quota.QuotaUsage;
import garnetscale.core.state.FreeCapacityCache;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Rents and returns machines, for the leader. One call to the cloud is under way at a time; what to do next is
 * worked out from the demand that the replica shows and the machines that are there or coming.
 */
public final class Autoscaler {

    private record Offer(String type, String zone, boolean spot) {}

    private static final class Refusal {
        long until;
        int inARow;
    }

    /** Free room to keep, as a share of what runs: new jobs should not have to wait for a boot. */
    private static final double HEADROOM = 0.5;
    /** A boot that takes this many times its usual length is given up; some take several times as long. */
    private static final double STUCK = 4;
    /** Calls' worth of time after which what was refused again and again is asked for once more. */
    private static final int REFUSED_CALLS = 40;

    private static final int SCALE_OUT_BATCH = 50;
    private static final int DELETE_AT_ONCE = 100;
    private static final int RETURNED_OF_FLEET = 64;

    private final SchedulerConfig config;
    private final StateReplica replica;
    private final Consumer<String> log;
    private final JobOrder order;
    private final FreeCapacityCache capacities;
    private long wallOffset;
    private final Map<String, CloudInstance> listed = new TreeMap<>();
    private final Map<String, Long> listedAt = new HashMap<>();
    /** Rented by this leader and not listed yet. */
    private final Map<String, CloudInstance> fresh = new LinkedHashMap<>();

    private final Map<String, Long> freshAt = new HashMap<>();
    private final Set<String> deleted = new HashSet<>();
    private final Map<Offer, Refusal> refusals = new HashMap<>();
    private final Map<String, Long> goneSince = new HashMap<>();
    private final Map<String, Long> idleSince = new HashMap<>();
    private final Deque<CloudCall> urgent = new ArrayDeque<>();
    private List<MachineType> prices = List.of();
    private List<CloudInstance> pages = new ArrayList<>();
    private boolean everListed;
    private boolean deletedLast;
    private long listAt = Long.MIN_VALUE / 2;
    private long typesAt = Long.MIN_VALUE / 2;
    private long scaleOutAt = Long.MIN_VALUE / 2;
    private long startedAt;
    private long term;
    private int sequence;

    public Autoscaler(SchedulerConfig config, StateReplica replica, Consumer<String> log) {
        this.config = config;
        this.replica = replica;
        this.log = log;
        this.order = new JobOrder(config);
        this.capacities = new FreeCapacityCache(replica);
    }

    /** A new leader starts from the cloud's list; what an earlier one had under way shows there. */
    public void start(long now, long leaderTerm) {
        term = leaderTerm;
        startedAt = now;
        sequence = 0;
        listed.clear();
        listedAt.clear();
        fresh.clear();
        freshAt.clear();
        deleted.clear();
        idleSince.clear();
        goneSince.clear();
        urgent.clear();
        pages = new ArrayList<>();
        everListed = false;
        listAt = Long.MIN_VALUE / 2;
        scaleOutAt = Long.MIN_VALUE / 2;
    }

    public void wallClock(long offset) {
        wallOffset = offset;
    }

    /** The time between two calls, so that the cloud never has to refuse one. */
    public long spacingMs() {
        return Math.round(1200 / config.cloudRps());
    }

    /** The next call to make, or null; {@code decommissioned} are empty machines that are of no use, {@code suspects} jobs that fail wherever they run. */
    public CloudCall next(
            long now, Collection<MachineStatus> heartbeating, List<String> decommissioned, Set<String> suspects) {
        if (!urgent.isEmpty()) {
            return urgent.poll();
        }
        if (prices.isEmpty() || now - typesAt > 60_000) {
            typesAt = now;
            return new CloudCall.ListTypes();
        }
        if (now - listAt > Math.max(2000, config.listLagMs() / 2)) {
            listAt = now;
            pages = new ArrayList<>();
            return new CloudCall.ListInstances("");
        }
        if (!everListed) {
            return null;
        }
        Map<String, MachineStatus> known = new HashMap<>();
        heartbeating.forEach(o -> known.put(o.machine(), o));
        List<Capacity> capacity = new ArrayList<>();
        CloudCall call = null;
        // In turns: a wave of lost machines brings deletes for half a minute, and what replaces them can't wait so
        // long.
        if (deletedLast) {
            call = scaleOut(now, known, capacity, suspects);
        }
        if (call == null) {
            call = decommissioned.isEmpty()
                    ? delete(now, known)
                    : new CloudCall.ScaleIn(
                            List.copyOf(decommissioned.subList(0, Math.min(decommissioned.size(), DELETE_AT_ONCE))));
        }
        if (call == null && !deletedLast) {
            call = scaleOut(now, known, capacity, suspects);
        }
        deletedLast = call instanceof CloudCall.ScaleIn;
        return call != null || capacity.isEmpty() ? call : giveBack(now, capacity, known);
    }

    public void onTypes(List<MachineType> types) {
        prices = types;
    }

    /** A page came; a full one asks for the next. */
    public void onPage(long now, List<CloudInstance> page, boolean more) {
        pages.addAll(page);
        if (more && !page.isEmpty()) {
            urgent.addFirst(
                    new CloudCall.ListInstances(page.get(page.size() - 1).id()));
            return;
        }
        everListed = true;
        Map<String, CloudInstance> before = new HashMap<>(listed);
        listed.clear();
        for (CloudInstance m : pages) {
            if (!deleted.contains(m.id())) {
                listed.put(m.id(), m);
                listedAt.putIfAbsent(m.id(), now);
                fresh.remove(m.id());
            }
        }
        before.keySet().removeAll(listed.keySet());
        before.forEach((id, m) -> {
            goneSince.putIfAbsent(id, now);
            // What it stood in can be had again, however often it was refused.
            refusals.remove(new Offer(m.type(), m.zone(), m.spot()));
        });
        goneSince.keySet().removeAll(listed.keySet());
        fresh.keySet().removeIf(id -> now - freshAt.get(id) > 3 * config.listLagMs() + 60_000);
    }

    /** Machines that are up by the list, with their addresses. */
    public List<MachineAddress> machineDirectory() {
        List<MachineAddress> list = new ArrayList<>();
        for (CloudInstance m : listed.values()) {
            if (!m.address().isEmpty() && m.state() == CloudInstance.State.RUNNING) {
                list.add(new MachineAddress(m.id(), m.address(), m.zone()));
            }
        }
        return list;
    }

    /** Machines that left the list long ago: the cloud has taken them, and their worker would be long silent. */
    public List<String> vanished(long now, Collection<MachineStatus> heartbeating) {
        Set<String> heard = new HashSet<>();
        heartbeating.forEach(o -> {
            if (!o.silent()) {
                heard.add(o.machine());
            }
        });
        List<String> ids = new ArrayList<>();
        goneSince.forEach((id, since) -> {
            if (!heard.contains(id) && now - since > 2 * config.fenceMs() + 10 * config.listLagMs()) {
                ids.add(id);
            }
        });
        ids.forEach(goneSince::remove);
        return ids;
    }

    /** Machines that the cloud lists as failed: nothing is on them. */
    public List<String> failed() {
        return listed.values().stream()
                .filter(m -> m.state() == CloudInstance.State.FAILED)
                .map(CloudInstance::id)
                .toList();
    }

    public void onScaledOut(long now, CloudCall.ScaleOut r, List<String> ids) {
        for (String id : ids) {
            fresh.put(id, new CloudInstance(id, "", r.type(), r.zone(), r.spot(), CloudInstance.State.BOOTING, 0));
            freshAt.put(id, now);
        }
        log.accept("rented " + ids.size() + " of " + r.count() + " " + describe(r));
        if (ids.size() < r.count()) {
            refuse(now, r);
        } else {
            refusals.remove(new Offer(r.type(), r.zone(), r.spot()));
        }
    }

    public void onRefused(long now, CloudCall.ScaleOut r) {
        refuse(now, r);
    }

    private void refuse(long now, CloudCall.ScaleOut r) {
        Refusal f = refusals.computeIfAbsent(new Offer(r.type(), r.zone(), r.spot()), k -> new Refusal());
        f.inARow++;
        f.until = now + Math.min(Math.min(30_000, REFUSED_CALLS * spacingMs()), 4000L << Math.min(3, f.inARow - 1));
        if (f.inARow == 1) {
            log.accept("no more capacity for " + describe(r));
        }
    }

    private static String describe(CloudCall.ScaleOut r) {
        return r.type() + " in " + r.zone() + (r.spot() ? ", spot" : ", ordinary");
    }

    public void onDeleted(List<String> ids) {
        deleted.addAll(ids);
        ids.forEach(id -> {
            listed.remove(id);
            fresh.remove(id);
            idleSince.remove(id);
        });
    }

    private CloudCall delete(long now, Map<String, MachineStatus> known) {
        // Machines that are up by the list and not told of count, too: it may be the telling that fails.
        long silent = known.values().stream().filter(MachineStatus::silent).count()
                + listed.values().stream()
                        .filter(m -> m.state() == CloudInstance.State.RUNNING && !known.containsKey(m.id()))
                        .count();
        List<String> ids = new ArrayList<>();
        for (CloudInstance m : listed.values()) {
            MachineType type = type(m.type());
            double bootS = type == null ? 60 : type.bootS();
            double ageS = m.ageS() + (now - listedAt.getOrDefault(m.id(), now)) / 1000.0;
            MachineStatus o = known.get(m.id());
            if (m.state() == CloudInstance.State.FAILED) {
                ids.add(m.id());
            } else if (o == null && m.state() == CloudInstance.State.BOOTING && ageS > STUCK * bootS + 10) {
                log.accept("machine " + m.id() + " is not up after " + Math.round(ageS) + " s and is given up");
                ids.add(m.id());
            } else if (m.state() == CloudInstance.State.RUNNING
                    && (o == null || o.silent())
                    && now - startedAt > config.leaseMs()
                    && hopeless(now, m.id(), known.size(), silent)) {
                log.accept("machine " + m.id() + " stays silent and is given up");
                ids.add(m.id());
            }
        }
        for (String id : replica.placedMachines()) {
            MachineStatus o = known.get(id);
            if (!replica.placements(id).isEmpty() && (o == null || o.silent()) && unlisted(now, id)) {
                log.accept("machine " + id + " is silent and not listed any more: deleting it proves its work gone");
                ids.add(id);
            }
        }
        ids.removeIf(deleted::contains);
        if (ids.size() > DELETE_AT_ONCE) {
            ids = ids.subList(0, DELETE_AT_ONCE);
        }
        return ids.isEmpty() ? null : new CloudCall.ScaleIn(List.copyOf(ids));
    }

    /**
     * Whether the cloud lists a machine no more. A wave of taken machines is told so from a network that is cut: to
     * delete what is gone costs nothing and frees its work at once, where a new holder would wait for the whole fence.
     * Lists are late and may be older than the one before, hence the time.
     */
    private boolean unlisted(long now, String id) {
        if (listed.containsKey(id) || fresh.containsKey(id)) {
            return false;
        }
        Long since = goneSince.get(id);
        return since != null ? now - since > config.listLagMs() : now - startedAt > 4 * config.listLagMs();
    }

    private final Map<String, Long> silentSince = new HashMap<>();

    /**
     * Whether a silent machine is to be deleted. One with work on it is, once a quarter of its lease is over: the answer
     * to the delete proves the work gone, which waiting would prove only later. Not when many are silent at once:
     * then it is rather the network, and they will be heard of again.
     */
    private boolean hopeless(long now, String id, int machines, long silentMachines) {
        long silent = now - silentSince.computeIfAbsent(id, k -> now);
        boolean few = silentMachines <= Math.max(2, machines / 8);
        return silent > config.fenceMs() + 2 * config.leaseMs()
                || few && !replica.placements(id).isEmpty() && silent > config.leaseMs() / 4;
    }

    /** What to rent next, or null; {@code capacity} is filled with what there is and what the demand uses of it. */
    private CloudCall scaleOut(
            long now, Map<String, MachineStatus> known, List<Capacity> capacity, Set<String> suspects) {
        silentSince
                .keySet()
                .removeIf(id -> known.get(id) != null && !known.get(id).silent());
        if (replica.types().isEmpty()) {
            return null;
        }
        capacity.addAll(capacity(known));
        QuotaUsage quota = QuotaUsage.of(config, replica);
        List<Capacity> open = new ArrayList<>(capacity);
        double least = replica.jobs().stream()
                .filter(JobView::live)
                .mapToDouble(j -> j.spec().cpus())
                .min()
                .orElse(0);
        Map<Offer, Integer> wanted = new LinkedHashMap<>();
        for (JobView job : JobQueue.sort(replica.jobs(), order, now + wallOffset)) {
            int tasks = 0;
            int most = suspects.contains(job.spec().id()) ? Math.min(1, job.unstarted()) : job.unstarted();
            while (tasks < most && quota.allows(job.spec())) {
                quota.add(job.spec(), 1);
                tasks++;
            }
            open.removeIf(s -> s.isFull(least));
            cover(now, job.spec(), tasks, open, wanted);
        }
        for (JobView job : replica.jobs()) {
            if (job.live()) {
                int tasks = (int) Math.ceil(HEADROOM * job.placedCount());
                open.removeIf(s -> s.isFull(least));
                cover(now, job.spec(), tasks, open, wanted);
            }
        }
        if (now - scaleOutAt >= Math.min(1000, 2 * spacingMs())) {
            for (Map.Entry<Offer, Integer> e : wanted.entrySet()) {
                scaleOutAt = now;
                Offer o = e.getKey();
                return new CloudCall.ScaleOut(
                        "r-" + term + "-" + ++sequence,
                        o.type(),
                        o.zone(),
                        o.spot(),
                        Math.min(SCALE_OUT_BATCH, e.getValue()));
            }
        }
        return null;
    }

    private List<Capacity> capacity(Map<String, MachineStatus> known) {
        List<Capacity> list = new ArrayList<>();
        for (MachineStatus o : known.values()) {
            MachineType type = replica.type(o.type());
            if (type != null && !o.silent() && o.evictionNoticeS() == null) {
                Capacity s = new Capacity(
                        o.machine(),
                        type,
                        o.zone(),
                        o.spot(),
                        capacities.of(o.machine(), type).copy());
                s.used = !replica.placements(o.machine()).isEmpty();
                list.add(s);
            }
        }
        for (CloudInstance m : listed.values()) {
            addComing(m, known, list);
        }
        for (CloudInstance m : fresh.values()) {
            addComing(m, known, list);
        }
        return list;
    }

    private void addComing(CloudInstance m, Map<String, MachineStatus> known, List<Capacity> list) {
        MachineType type = replica.type(m.type());
        if (type != null && m.state() != CloudInstance.State.FAILED && !known.containsKey(m.id())) {
            Capacity s = new Capacity(m.id(), type, m.zone(), m.spot(), new FreeCapacity(type));
            s.used = true;
            list.add(s);
        }
    }

    /** Puts tasks where there is room, and counts the machines to rent for those that find none. */
    private void cover(long now, JobSpec job, int tasks, List<Capacity> capacity, Map<Offer, Integer> wanted) {
        int left = tasks;
        for (int i = 0; i < capacity.size() && left > 0; i++) {
            left -= capacity.get(i).fill(job, left);
        }
        while (left > 0) {
            Offer best = null;
            double bestCost = Double.MAX_VALUE;
            for (MachineType type : prices) {
                for (String zone : type.zones()) {
                    for (boolean spot : new boolean[] {true, false}) {
                        Offer o = new Offer(type.name(), zone, spot);
                        Refusal r = refusals.get(o);
                        boolean open = r == null || now >= r.until;
                        int slots = new FreeCapacity(type).slots(job);
                        if (open && slots > 0 && JobQueue.allows(type, zone, spot, job)) {
                            double price = spot ? type.spotPrice() : type.price();
                            double cost = price / Math.min(slots, left) * (1 + type.bootS() / 60);
                            if (cost < bestCost) {
                                bestCost = cost;
                                best = o;
                            }
                        }
                    }
                }
            }
            if (best == null || wanted.getOrDefault(best, 0) >= SCALE_OUT_BATCH) {
                return;
            }
            wanted.merge(best, 1, Integer::sum);
            MachineType type = type(best.type());
            Capacity s = new Capacity("", type, best.zone(), best.spot(), new FreeCapacity(type));
            capacity.add(s);
            left -= s.fill(job, left);
        }
    }

    /**
     * Returns machines that the demand has had no use for during a while: a few boots, so that bursts don't churn. A part
     * of the fleet at a time, since what else the cloud is to do waits meanwhile.
     */
    private CloudCall giveBack(long now, List<Capacity> capacity, Map<String, MachineStatus> known) {
        List<String> idle = new ArrayList<>();
        for (Capacity s : capacity) {
            if (s.used || !known.containsKey(s.id)) {
                idleSince.remove(s.id);
            } else if (now - idleSince.computeIfAbsent(s.id, k -> now) > 1000 * (60 + 4 * s.type.bootS())) {
                idle.add(s.id);
            }
        }
        if (idle.isEmpty()) {
            return null;
        }
        idle.sort(Comparator.comparing(idleSince::get));
        List<String> most = List.copyOf(idle.subList(0, Math.min(idle.size(), 1 + known.size() / RETURNED_OF_FLEET)));
        log.accept("machines " + String.join(", ", most) + " are idle and are returned");
        return new CloudCall.ScaleIn(most);
    }

    private MachineType type(String name) {
        for (MachineType t : prices) {
            if (t.name().equals(name)) {
                return t;
            }
        }
        return null;
    }
}
