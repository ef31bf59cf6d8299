package garnetscale.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.upgrade.ClusterVersion;
import garnetscale.emulator.StateModel;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** A store whose work log is written from a leader's replica, and read by other replicas through listings and watches. */
final class LogFixture {

    /** Page size of a listing in one page; more keys than any test stores. */
    private static final int ALL_KEYS = 100_000;

    final StateModel state;
    final Random random;
    final StateReplica leader = new StateReplica();

    LogFixture(StateModel state, long seed, JobSpec... jobs) {
        this.state = state;
        this.random = new Random(seed);
        Random changeOrder = new Random(seed);
        state.orderChanges(changes -> Collections.shuffle(changes, changeOrder));
        for (JobSpec job : jobs) {
            String key = Keys.job(job.id());
            state.commit(new Transaction().guard(key, 0).put(key, Records.job(new JobRecord(job, JobState.LIVE, 0))));
        }
        leader.reset(list(Keys.REPLICATED), state.revision());
    }

    /** Returns every key under a prefix, as of one revision. */
    List<KeyChange> list(String prefix) {
        return state.list(prefix, null, ALL_KEYS);
    }

    /**
     * Commits a transaction of the leader and updates the leader's replica. A copy of the transaction that arrives later must be
     * rejected: it would bring back older snapshot pages, also if it writes no entry.
     */
    void commit(Transaction transaction) {
        assertEquals(200, state.commit(transaction), () -> state.oversized().toString());
        assertEquals(List.of(), state.repeatable(), "may be applied again");
        follow(leader);
    }

    void activate(int version) {
        commit(leader.guardVersion(new Transaction())
                .put(Keys.VERSION, Records.version(new ClusterVersion(version, Layouts.FIRST))));
    }

    /** Updates a replica from a watch. */
    void follow(StateReplica replica) {
        replica.advance(state.changes(Keys.REPLICATED, replica.revision()), state.revision());
    }

    /** Returns a new replica, loaded from a listing as of one revision. */
    StateReplica listAtOnce() {
        StateReplica replica = new StateReplica();
        replica.reset(list(Keys.REPLICATED), state.revision());
        return replica;
    }

    /**
     * Returns a new replica, loaded from a listing in pages and then updated from a watch, or null if the listing was
     * inconsistent.
     *
     * @param pageKeys number of keys per page
     * @param write    the write that is run zero to two times after each page
     */
    StateReplica listInPages(int pageKeys, Runnable write) {
        List<KeyChange> listed = new ArrayList<>();
        long first = state.revision();
        String lastKey = null;
        List<KeyChange> page;
        do {
            page = state.list(Keys.REPLICATED, lastKey, pageKeys);
            listed.addAll(page);
            lastKey = page.isEmpty() ? null : page.get(page.size() - 1).key();
            for (int i = random.nextInt(3); i > 0; i--) {
                write.run();
            }
        } while (page.size() == pageKeys);
        StateReplica replica = new StateReplica();
        replica.reset(listed, first);
        if (!replica.isLoaded()) {
            return null;
        }
        follow(replica);
        return replica;
    }
}
