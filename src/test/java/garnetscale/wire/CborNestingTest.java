package garnetscale.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Receivers must ignore unknown fields, however deeply they are nested; only the size of a body limits that. A field that was nested
 * more than 32 deep made the whole body malformed.
 */
class CborNestingTest {

    private static final int ONE_ELEMENT_LIST = 0x81;
    private static final int EMPTY_LIST = 0x80;
    private static final int MAP_OF_TWO = 0xA2;
    private static final int SHORT_TEXT = 0x60;
    /** As deep as a body of 64 KiB allows beside its other fields. */
    private static final int DEEPEST = 65_000;

    /** Returns the CBOR of {"id": "wk-1", "x": [[...]]}, where the lists are nested to a depth. */
    private static byte[] bodyNestedTo(int depth) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.write(MAP_OF_TWO);
        for (String text : List.of("id", "wk-1", "x")) {
            body.write(SHORT_TEXT + text.length());
            body.writeBytes(text.getBytes(StandardCharsets.US_ASCII));
        }
        for (int i = 1; i < depth; i++) {
            body.write(ONE_ELEMENT_LIST);
        }
        body.write(EMPTY_LIST);
        return body.toByteArray();
    }

    @Test
    void theOtherFieldsOfADeeplyNestedBodyAreRead() throws IOException {
        for (int depth : new int[] {1, 31, 32, 33, 1000, DEEPEST}) {
            Map<?, ?> body = Cbor.readMap(bodyNestedTo(depth));
            assertEquals("wk-1", body.get("id"), "depth " + depth);
            assertInstanceOf(List.class, body.get("x"), "depth " + depth);
        }
    }

    @Test
    void aDeeplyNestedBodyThatIsCutShortIsMalformed() {
        byte[] body = bodyNestedTo(1000);
        byte[] shorter = Arrays.copyOf(body, body.length - 1);
        assertThrows(IOException.class, () -> Cbor.readMap(shorter));
    }
}
