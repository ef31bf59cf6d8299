package garnetscale.wire;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * A malformed answer of the state service is reported as such, so that the request is sent again. Any other exception would end the
 * watch, and the replica would never advance again.
 */
class StateCodecTest {

    private static final List<Object> MALFORMED = List.of(
            "text",
            Map.of(),
            Map.of("key", 1, "set", 1, "stamp", 1),
            Map.of("key", "g/a", "set", "g/a", "v", "x"),
            Map.of("remove", 1, "stamp", 1));

    @Test
    void malformedElementsOfAListingAreReported() {
        for (Object element : MALFORMED) {
            byte[] body = Cbor.write(Map.of("pairs", List.of(element), "has_next", false, "ledger", 1));
            assertThrows(IOException.class, () -> StateCodec.listing(body), element::toString);
        }
    }

    @Test
    void malformedChangesOfAWatchAreReported() {
        for (Object element : MALFORMED) {
            byte[] body = Cbor.write(Map.of("ledger", 1, "log", List.of(element)));
            assertThrows(IOException.class, () -> StateCodec.changes(body), element::toString);
        }
    }
}
