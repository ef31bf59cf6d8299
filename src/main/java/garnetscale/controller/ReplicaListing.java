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
 * Loads the replica by listing all replicated keys in pages, and repeats this until a listing is consistent and readable. While
 * it is running, the answer to a watch that was sent earlier doesn't confirm the replica.
 */
final class ReplicaListing {

    private static final Logger LOG = LoggerFactory.getLogger(ReplicaListing.class);
    private static final int PAGE_KEYS = 500;
    private static final long PAGE_TIMEOUT_MS = 2 * StateConnection.TIMEOUT_MS;
    private static final long RETRY_MS = 500;
    private static final long INCONSISTENT_RETRY_MS = 300;
    /** Delay before listing again while a stored record is unreadable. */
    private static final long UNREADABLE_RETRY_MS = 2000;

    private static final long NO_REVISION = -1;

    private final StateConnection connection;
    private final StateReplica replica;
    private final ReplicaListener listener;
    private boolean running;
    /** The record that was last logged as unreadable, or null. */
    private String reportedUnreadable;

    ReplicaListing(StateConnection connection, StateReplica replica, ReplicaListener listener) {
        this.connection = connection;
        this.replica = replica;
        this.listener = listener;
    }

    /** Returns whether the replica is being loaded. */
    boolean isRunning() {
        return running;
    }

    /** Starts loading the replica from its first page. */
    void start() {
        running = true;
        listPage("", new ArrayList<>(), NO_REVISION);
    }

    /**
     * Requests the next page.
     *
     * @param since    the last key of the previous page, or empty for the first page
     * @param listed   the entries of all previous pages
     * @param revision the revision of the first page, or negative when this is the first page
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
            LOG.info("listing is inconsistent, listing again, revision={}", firstRevision);
            connection.retryAfter(INCONSISTENT_RETRY_MS, this::start);
        } else {
            onConsistentListing(listed.size(), revision, firstRevision, sentAt);
        }
    }

    private void onConsistentListing(int keys, long revision, long firstRevision, long sentAt) {
        running = false;
        LOG.info("replica is loaded, keys={} revision={}", keys, firstRevision);
        // A negative revision means that the first page was the only one. Several pages are read at different
        // moments: the replica isn't confirmed until the watch has brought the changes in between.
        if (revision < 0) {
            listener.onConfirmed(sentAt);
        }
        listener.onLoaded();
    }

    /**
     * Lists again until every stored record is readable. This controller decides nothing until then. A record may become
     * readable again, since operators may activate the previous version.
     */
    void waitUntilReadable() {
        running = true;
        retryUnreadable();
    }

    private void retryUnreadable() {
        if (!replica.unreadable().equals(reportedUnreadable)) {
            reportedUnreadable = replica.unreadable();
            LOG.error(
                    "stored record is unreadable, controller is passive until it can be read, record={}",
                    reportedUnreadable);
        }
        connection.retryAfter(UNREADABLE_RETRY_MS, this::start);
    }
}
