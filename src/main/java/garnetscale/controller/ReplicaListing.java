package garnetscale.controller;

import garnetscale.core.state.KeyChange;
import garnetscale.core.state.Keys;
import garnetscale.core.state.StateReplica;
import garnetscale.net.HttpStatus;
import garnetscale.wire.StateCodec;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Loads the replica by listing everything in pages, again and again until it has a consistent listing that it can read. While
 * it is running the replica isn't complete, whatever a watch says that was sent before.
 */
final class ReplicaListing {

    private static final Logger LOG = LoggerFactory.getLogger(ReplicaListing.class);
    private static final int PAGE_KEYS = 500;
    private static final long PAGE_TIMEOUT_MS = 2 * StateConnection.TIMEOUT_MS;
    private static final long RETRY_MS = 500;
    private static final long INCONSISTENT_RETRY_MS = 300;
    /** How often a store that can't be read is read again. */
    private static final long UNREADABLE_RETRY_MS = 2000;

    private static final long NO_REVISION = -1;

    private final StateConnection connection;
    private final StateReplica replica;
    private final ReplicaListener listener;
    private boolean running;
    /** The record that was last logged as unreadable. */
    private String reportedUnreadable;

    ReplicaListing(StateConnection connection, StateReplica replica, ReplicaListener listener) {
        this.connection = connection;
        this.replica = replica;
        this.listener = listener;
    }

    /** Whether the replica is being loaded. */
    boolean isRunning() {
        return running;
    }

    /** Starts to load the replica again from its first page. */
    void start() {
        running = true;
        listPage("", new ArrayList<>(), NO_REVISION);
    }

    /**
     * Asks for the next page.
     *
     * @param since    the last key of the page before, empty for the first page
     * @param listed   the pages before
     * @param revision the revision of the first page, negative for the first page
     */
    private void listPage(String since, List<KeyChange> listed, long revision) {
        String path = StateCodec.listingPath(Keys.REPLICATED, PAGE_KEYS, since);
        long sentAt = connection.now();
        connection.call(HttpMethod.GET, path, null, PAGE_TIMEOUT_MS, result -> {
            if (!result.is(HttpStatus.OK)) {
                connection.onFailed("listing", result);
                connection.retryAfter(RETRY_MS, () -> listPage(since, listed, revision));
                return;
            }
            try {
                onPage(StateCodec.listing(result.body()), listed, revision, sentAt);
            } catch (IOException e) {
                connection.retryAfter(RETRY_MS, this::start);
            }
        });
    }

    private void onPage(StateCodec.Batch page, List<KeyChange> listed, long revision, long sentAt) {
        listed.addAll(page.changes());
        long firstRevision = revision < 0 ? page.revision() : revision;
        if (page.more() && !page.changes().isEmpty()) {
            String lastKey = page.changes().get(page.changes().size() - 1).key();
            listPage(lastKey, listed, firstRevision);
            return;
        }
        connection.onAnswered();
        replica.reset(listed, firstRevision);
        if (replica.unreadable() != null) {
            retryUnreadable();
        } else if (replica.isInconsistent()) {
            LOG.info("listing is inconsistent and is read again, revision={}", firstRevision);
            connection.retryAfter(INCONSISTENT_RETRY_MS, this::start);
        } else {
            onConsistentListing(listed.size(), revision, firstRevision, sentAt);
        }
    }

    private void onConsistentListing(int keys, long revision, long firstRevision, long sentAt) {
        running = false;
        LOG.info("replica is loaded, keys={} revision={}", keys, firstRevision);
        // Several pages are of different moments: the replica isn't complete before the watch has brought what came
        // between.
        if (revision < 0) {
            listener.onConfirmed(sentAt);
        }
        listener.onLoaded();
    }

    /** What is stored can't be read: nothing is decided until it can, since operators may activate the version before. */
    void waitUntilReadable() {
        running = true;
        retryUnreadable();
    }

    private void retryUnreadable() {
        if (!replica.unreadable().equals(reportedUnreadable)) {
            reportedUnreadable = replica.unreadable();
            LOG.error(
                    "stored record is unreadable and this controller decides nothing until it can read it, record={}",
                    reportedUnreadable);
        }
        connection.retryAfter(UNREADABLE_RETRY_MS, this::start);
    }
}
