package garnetscale.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import garnetscale.core.job.JobSpec;
import garnetscale.core.job.Priority;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Decoding of the protocol's example of a submission, and rejection of malformed submissions. */
class UserCodecTest {

    private static Map<String, Object> exampleBody() {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("id", "wk-000412");
        body.put("herd", "train");
        body.put("crew", "vision");
        body.put("shape", "array");
        body.put("rank", "high");
        body.put("chores", 16);
        body.put("cpus", 8.0);
        body.put("gpus", 1.0);
        body.put("ram_gb", 64.0);
        body.put("seed", "img-07");
        body.put("image_gb", 6.2);
        body.put("breeds", List.of("g8"));
        body.put("field", null);
        body.put("same_place", true);
        body.put("apart", false);
        body.put("windfall", true);
        body.put("guess_s", 240.0);
        body.put("pin_s", 30.0);
        body.put("stash_s", 4.0);
        body.put("due_s", 900.0);
        return body;
    }

    private static JobSpec decode(Map<String, Object> body) throws IOException {
        return UserCodec.job(Cbor.readMap(Cbor.write(body)));
    }

    @Test
    void decodesProtocolExample() throws IOException {
        assertEquals(
                new JobSpec(
                        "wk-000412",
                        "train",
                        "vision",
                        Priority.HIGH,
                        16,
                        8,
                        1,
                        64,
                        List.of("g8"),
                        null,
                        true,
                        false,
                        true,
                        "img-07",
                        6.2,
                        240,
                        30,
                        4,
                        900.0),
                decode(exampleBody()));
    }

    @Test
    void missingNullableFieldsAreNullAndUnknownFieldsIgnored() throws IOException {
        Map<String, Object> body = exampleBody();
        body.remove("breeds");
        body.remove("due_s");
        body.put("unheard_of", "ignored");
        JobSpec job = decode(body);
        assertNull(job.types());
        assertNull(job.deadlineS());
    }

    @ParameterizedTest
    @CsvSource({
        "id,job-1",
        "id,wk-",
        "id,wk-12x",
        "shape,group",
        "rank,urgent",
        "chores,0",
        "chores,100001",
        "chores,many",
        "cpus,-1.0",
        "cpus,NaN",
        "cpus,Infinity",
        "cpus,lots",
        "same_place,yes",
        "breeds,g8",
        "guess_s,",
        "herd,",
        "pin_s,-0.1"
    })
    void exceptionNamesMalformedField(String field, String value) {
        Map<String, Object> body = exampleBody();
        body.put(field, typed(value));
        IOException exception = assertThrows(IOException.class, () -> decode(body));
        assertEquals(field, exception.getMessage().split(" ")[0]);
    }

    private static Object typed(String value) {
        if (value == null) {
            return null;
        }
        if (value.matches("NaN|Infinity|-?[0-9]+\\.[0-9]+")) {
            return Double.valueOf(value);
        }
        return value.matches("[0-9]+") ? Integer.valueOf(value) : value;
    }

    @Test
    void rejectsBodiesOtherThanOneCompleteMap() {
        byte[] valid = Cbor.write(exampleBody());
        List<byte[]> malformed = new ArrayList<>();
        malformed.add(new byte[0]);
        malformed.add("{\"id\":1}".getBytes(java.nio.charset.StandardCharsets.UTF_8));
        malformed.add(Cbor.write(List.of(1)));
        malformed.add(new byte[] {(byte) 0x41, 0x00});
        for (int cut = 1; cut < valid.length; cut += 7) {
            malformed.add(java.util.Arrays.copyOf(valid, cut));
        }
        byte[] withTrailingByte = java.util.Arrays.copyOf(valid, valid.length + 1);
        malformed.add(withTrailingByte);
        for (byte[] body : malformed) {
            assertThrows(IOException.class, () -> Cbor.readMap(body));
        }
    }
}
