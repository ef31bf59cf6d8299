package garnetscale.core.autoscaling;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.Times;
import garnetscale.core.machine.MachineAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The cloud's instances: those in its last complete list, those launched since, and those that have left the list. */
final class InstanceList {

    private static final long MIN_LIST_INTERVAL_MS = 2000;

    private final SchedulerConfig config;
    private final Map<String, CloudInstance> listed = new TreeMap<>();
    private final Map<String, Long> firstListedAt = new HashMap<>();
    /**
     * Instances that this leader launched and that no list has shown yet. One is dropped if no list shows it for a minute plus
     * three times the usual lag of the list.
     */
    private final Map<String, CloudInstance> launched = new LinkedHashMap<>();

    private final Map<String, Long> launchedAt = new HashMap<>();
    private final Set<String> deleted = new HashSet<>();
    private final Map<String, Long> unlistedSince = new HashMap<>();
    private final Deque<CloudCall> pageRequests = new ArrayDeque<>();
    /** Instances on the pages of the list that is being read. */
    private List<CloudInstance> pendingInstances = new ArrayList<>();

    private boolean hasCompleteList;
    private long listRequestedAt = Times.NEVER;
    private long startedAt;

    InstanceList(SchedulerConfig config) {
        this.config = config;
    }

    /** Clears all state: a new leader uses only lists that it has read itself. */
    void start(long now) {
        startedAt = now;
        listed.clear();
        firstListedAt.clear();
        launched.clear();
        launchedAt.clear();
        deleted.clear();
        unlistedSince.clear();
        pageRequests.clear();
        pendingInstances = new ArrayList<>();
        hasCompleteList = false;
        listRequestedAt = Times.NEVER;
    }

    /** Returns the request for the next page of the list that is being read, or null if there is none. */
    CloudCall nextPageRequest() {
        return pageRequests.poll();
    }

    /** Returns whether it is time to read the list again. */
    boolean isListDue(long now) {
        return now - listRequestedAt > Math.max(MIN_LIST_INTERVAL_MS, config.instanceListLagMs() / 2);
    }

    /** Returns the request for the first page, and discards the pages of an unfinished list. */
    CloudCall listRequest(long now) {
        listRequestedAt = now;
        pendingInstances = new ArrayList<>();
        return new CloudCall.ListInstances("");
    }

    /** Returns whether this leader has read a complete list. */
    boolean hasCompleteList() {
        return hasCompleteList;
    }

    /** Adds a page. If it completes the list, returns the instances of the previous list that are missing from this one. */
    Collection<CloudInstance> onPage(long now, List<CloudInstance> page, boolean hasMore) {
        pendingInstances.addAll(page);
        if (hasMore && !page.isEmpty()) {
            pageRequests.addFirst(
                    new CloudCall.ListInstances(page.get(page.size() - 1).id()));
            return List.of();
        }
        hasCompleteList = true;
        Map<String, CloudInstance> dropped = new HashMap<>(listed);
        listed.clear();
        for (CloudInstance instance : pendingInstances) {
            if (!deleted.contains(instance.id())) {
                listed.put(instance.id(), instance);
                firstListedAt.putIfAbsent(instance.id(), now);
                launched.remove(instance.id());
            }
        }
        dropped.keySet().removeAll(listed.keySet());
        for (String id : dropped.keySet()) {
            unlistedSince.putIfAbsent(id, now);
        }
        unlistedSince.keySet().removeAll(listed.keySet());
        launched.keySet().removeIf(id -> now - launchedAt.get(id) > 3 * config.instanceListLagMs() + 60_000);
        return dropped.values();
    }

    void onLaunched(long now, CloudInstance instance) {
        launched.put(instance.id(), instance);
        launchedAt.put(instance.id(), now);
    }

    void onDeleted(List<String> ids) {
        deleted.addAll(ids);
        for (String id : ids) {
            listed.remove(id);
            launched.remove(id);
        }
    }

    /** Returns the instances of the last complete list that haven't been deleted, ordered by id. */
    Collection<CloudInstance> listed() {
        return listed.values();
    }

    /** Returns the launched instances that no list has shown yet, in launch order. */
    Collection<CloudInstance> launched() {
        return launched.values();
    }

    boolean isDeleted(String id) {
        return deleted.contains(id);
    }

    /** Returns the seconds since the launch of a listed instance. */
    double ageS(long now, CloudInstance instance) {
        return instance.ageS() + (now - firstListedAt.getOrDefault(instance.id(), now)) / 1000.0;
    }

    /**
     * Returns whether an instance has left the list for good. This distinguishes a wave of evicted spot instances from a network
     * partition: deleting a terminated instance costs nothing and frees its placements at once, whereas a new partition owner
     * would have to wait for the fencing delay. Lists are delayed, and a list may be older than the previous one, so an instance
     * counts as gone only after it has been missing for the usual lag of the list. An instance that this leader has never seen
     * listed counts as gone once the leader's term has lasted four times the lag.
     */
    boolean isUnlisted(long now, String id) {
        if (listed.containsKey(id) || launched.containsKey(id)) {
            return false;
        }
        Long since = unlistedSince.get(id);
        return since != null
                ? now - since > config.instanceListLagMs()
                : now - startedAt > 4 * config.instanceListLagMs();
    }

    /**
     * Removes and returns the instances that aren't reachable and left the list so long ago that their agents must have stopped
     * all tasks.
     */
    List<String> takeVanished(long now, Set<String> reachable) {
        List<String> ids = new ArrayList<>();
        unlistedSince.forEach((id, since) -> {
            if (!reachable.contains(id)
                    && now - since > 2 * config.fencingDelayMs() + 10 * config.instanceListLagMs()) {
                ids.add(id);
            }
        });
        ids.forEach(unlistedSince::remove);
        return ids;
    }

    /** Returns the addresses of the running instances, ordered by instance id. */
    List<MachineAddress> addresses() {
        List<MachineAddress> addresses = new ArrayList<>();
        for (CloudInstance instance : listed.values()) {
            if (!instance.address().isEmpty() && instance.state() == CloudInstance.State.RUNNING) {
                addresses.add(new MachineAddress(instance.id(), instance.address(), instance.zone()));
            }
        }
        return addresses;
    }

    /** Returns the ids of the instances that the cloud lists as failed. */
    List<String> failed() {
        return listed.values().stream()
                .filter(instance -> instance.state() == CloudInstance.State.FAILED)
                .map(CloudInstance::id)
                .toList();
    }
}
