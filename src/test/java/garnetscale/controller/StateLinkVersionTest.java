package garnetscale.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.Features;
import garnetscale.core.TestConfig;
import garnetscale.core.balance.BalanceSettings;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.state.Transaction;
import garnetscale.core.state.TransactionOutcome;
import garnetscale.core.upgrade.ClusterVersion;
import garnetscale.core.upgrade.VersionRange;
import garnetscale.net.HttpResult;
import garnetscale.wire.Cbor;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Every change is guarded by the active version. A controller that doesn't support the active version decides nothing until a
 * version that it supports is active again.
 */
class StateLinkVersionTest {

    private static final long MOD_REVISION = 7;

    private static final class IgnoringListener implements StateLink.Listener {
        @Override
        public void onReplicaAdvanced() {
            // Only the sent requests matter here.
        }

        @Override
        public void onReplicaConfirmed(long sentAt) {
            // As above.
        }

        @Override
        public void onLeaseChanged(long lease) {
            // As above.
        }
    }

    private final ManualIo io = new ManualIo();
    private final VersionRange first = VersionRange.FIRST;
    private final StateReplica replica = new StateReplica(first);
    private final StateLink link = new StateLink(
            TestConfig.small()
                    .features(new Features(
                            false,
                            Features.DEFAULT_ACTIVATION_DELAY_LEASES,
                            first,
                            Features.NEVER,
                            BalanceSettings.OFF))
                    .build(),
            io,
            new SplittableRandom(1),
            replica,
            new IgnoringListener());

    private static HttpResult ok(Map<String, ?> body) {
        return HttpResult.answered(200, Cbor.write(body));
    }

    private void list(ClusterVersion version) {
        List<Map<String, ?>> pairs = version == null
                ? List.of()
                : List.of(Map.of("key", Keys.VERSION, "v", Records.version(version), "stamp", MOD_REVISION));
        io.take("/keys?").done().accept(ok(Map.of("pairs", pairs, "has_next", false, "ledger", 10)));
    }

    private static Map<?, ?> guards(ManualIo.Call call) throws IOException {
        Map<Object, Object> guards = new HashMap<>();
        for (Object guard : (List<?>) Cbor.readMap(call.body()).get("guards")) {
            guards.put(((Map<?, ?>) guard).get("key"), ((Number) ((Map<?, ?>) guard).get("stamp")).longValue());
        }
        return guards;
    }

    @Test
    void everyChangeIsGuardedByTheActiveVersion() throws IOException {
        link.start();
        list(new ClusterVersion(1, 1));
        link.send(new Transaction().put("a/b", Map.of()), (result, revision) -> {});
        assertEquals(MOD_REVISION, guards(io.take("/multi")).get(Keys.VERSION));
        link.submit(new Transaction().put("a/b", Map.of()), (result, revision) -> {});
        assertEquals(MOD_REVISION, guards(io.take("/multi")).get(Keys.VERSION));
        link.sendAsLeader(new Transaction().put("a/b", Map.of()), (result, revision) -> {});
        assertEquals(MOD_REVISION, guards(io.take("/multi")).get(Keys.VERSION));
    }

    @Test
    void controllerThatCannotReadTheVersionDecidesNothingUntilItCan() {
        link.start();
        io.take("/holds").done().accept(ok(Map.of("tenure", 5)));
        list(null);
        assertTrue(io.isPending("/multi"), "it registers itself");
        io.take("/multi").done().accept(ok(Map.of("ledger", 11)));
        io.runTimers();
        io.take("/holds/5/touch").done().accept(ok(Map.of()));

        Map<String, ?> change =
                Map.of("set", Keys.VERSION, "v", Records.version(new ClusterVersion(2, 1)), "stamp", 12);
        io.take("/follow").done().accept(ok(Map.of("ledger", 12, "log", List.of(change))));
        assertFalse(replica.isLoaded());
        io.calls.clear();
        List<TransactionOutcome> results = new ArrayList<>();
        link.send(new Transaction().put("a/b", Map.of()), (result, revision) -> results.add(result));
        assertEquals(List.of(TransactionOutcome.REFUSED), results);
        assertFalse(io.isPending("/multi"), "it writes nothing");

        io.runTimers();
        assertFalse(io.isPending("/holds"), "its lease isn't renewed, so that others get its partitions");
        list(new ClusterVersion(2, 1));
        assertFalse(replica.isLoaded());
        io.runTimers();
        list(new ClusterVersion(1, 1));
        assertTrue(replica.isLoaded(), "loaded once the previous version is active again");
        io.runTimers();
        assertTrue(io.isPending("/holds/5/touch"));
    }
}
