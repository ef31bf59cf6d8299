package garnetscale.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.state.StateReplica;
import garnetscale.net.HttpResult;
import garnetscale.wire.Cbor;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * A replica that is being listed again, because its revision was too old for a watch, isn't complete: an older watch that is
 * answered meanwhile must neither confirm nor change it. Otherwise an owner would continue, for its whole grace period, to answer
 * workers from a replica that lacks a cancellation.
 */
class StateLinkRelistTest {

    private static final int GONE = 410;
    private static final long LISTED_REVISION = 10;
    private static final long RELISTED_REVISION = 900;

    private static final class Confirmations implements StateLink.Listener {
        private final List<Long> sentAt = new ArrayList<>();

        @Override
        public void onReplicaAdvanced() {
            // Only confirmations matter here.
        }

        @Override
        public void onReplicaConfirmed(long sentAtMs) {
            sentAt.add(sentAtMs);
        }

        @Override
        public void onLeaseChanged(long lease) {
            // As above.
        }
    }

    private final ManualIo io = new ManualIo();
    private final StateReplica replica = new StateReplica();
    private final Confirmations confirmations = new Confirmations();

    private static HttpResult ok(Map<String, ?> body) {
        return HttpResult.answered(200, Cbor.write(body));
    }

    private void list(long revision) {
        io.take("/keys?").done().accept(ok(Map.of("pairs", List.of(), "has_next", false, "ledger", revision)));
    }

    private StateLink started() {
        SchedulerConfig config = TestConfig.small().state(450, 180).build();
        StateLink link = new StateLink(config, io, new SplittableRandom(1), replica, confirmations);
        link.start();
        list(LISTED_REVISION);
        return link;
    }

    /** The changes since a replica's revision may be more than a controller accepts; a repeated watch would only get more. */
    @Test
    void anAnswerThatIsTooLongIsReplacedByAListing() {
        started();
        io.take("/follow").done().accept(HttpResult.TOO_LONG);
        list(RELISTED_REVISION);
        assertEquals(RELISTED_REVISION, replica.revision());
        assertTrue(io.isPending("/follow"), "the replica is watched again");
    }

    @Test
    void anOlderWatchDoesNotConfirmAReplicaThatIsListedAgain() {
        StateLink link = started();
        ManualIo.Call watch = io.take("/follow");
        assertEquals(List.of(1_000_000L), confirmations.sentAt, "by the listing");

        io.now += 100;
        List<Boolean> synced = new ArrayList<>();
        link.sync(synced::add);
        io.take("/follow").done().accept(HttpResult.answered(GONE, new byte[0]));
        assertEquals(List.of(false), synced);

        io.now += 100;
        watch.done().accept(ok(Map.of("ledger", LISTED_REVISION + 1, "log", List.of())));
        assertEquals(1, confirmations.sentAt.size(), "an older watch confirmed a replica that is being listed");
        assertEquals(LISTED_REVISION, replica.revision());
        assertFalse(io.isPending("/follow"), "nothing is watched from a revision that is about to be replaced");

        list(RELISTED_REVISION);
        assertEquals(List.of(1_000_000L, 1_000_100L), confirmations.sentAt, "as of the sending of the new listing");
        assertEquals(RELISTED_REVISION, replica.revision());
    }

    /** A watch that was open during a listing was opened again beside the one after the listing, and so on with each listing. */
    @Test
    void oneWatchIsOpenAfterAListingDuringWhichAnOlderOneWasOpen() {
        StateLink link = started();
        ManualIo.Call older = io.take("/follow");
        link.sync(complete -> {});
        io.take("/follow").done().accept(HttpResult.answered(GONE, new byte[0]));
        list(RELISTED_REVISION);
        ManualIo.Call newer = io.take("/follow");

        older.done().accept(ok(Map.of("ledger", RELISTED_REVISION, "log", List.of())));
        assertFalse(io.isPending("/follow"), "the older watch is opened again");

        newer.done().accept(ok(Map.of("ledger", RELISTED_REVISION, "log", List.of())));
        assertTrue(io.isPending("/follow"), "the newer watch is opened again");
    }
}
