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

/** Submissions as the protocol shows them, and the ways in which they can be malformed. */
class UserCodecTest {

    private static Map<String, Object> example() {
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

    private static JobSpec read(Map<String, Object> body) throws IOException {
        return UserCodec.job(Cbor.readMap(Cbor.write(body)));
    }

    @Test
    void readsTheProtocolsExample() throws IOException {
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
                read(example()));
    }

    @Test
    void nullAndMissingAreTheSameWhereNullIsAllowed() throws IOException {
        Map<String, Object> body = example();
        body.remove("breeds");
        body.remove("due_s");
        body.put("unheard_of", "ignored");
        JobSpec job = read(body);
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
    void namesTheFieldThatIsAtFault(String field, String value) {
        Map<String, Object> body = example();
        body.put(field, typed(value));
        IOException exception = assertThrows(IOException.class, () -> read(body));
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
    void anythingButOneWholeMapIsMalformed() {
        byte[] good = Cbor.write(example());
        List<byte[]> bad = new ArrayList<>();
        bad.add(new byte[0]);
        bad.add("{\"id\":1}".getBytes(java.nio.charset.StandardCharsets.UTF_8));
        bad.add(Cbor.write(List.of(1)));
        bad.add(new byte[] {(byte) 0x41, 0x00});
        for (int cut = 1; cut < good.length; cut += 7) {
            bad.add(java.util.Arrays.copyOf(good, cut));
        }
        byte[] twice = java.util.Arrays.copyOf(good, good.length + 1);
        bad.add(twice);
        for (byte[] body : bad) {
            assertThrows(IOException.class, () -> Cbor.readMap(body));
        }
    }
}
