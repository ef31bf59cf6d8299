package garnetscale.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;

/**
 * Bodies as plain maps, lists, texts and numbers, by Jackson's streaming parser. No data binding: it would cost
 * a starting process more processor time than all else together.
 */
public final class Cbor {

    private static final CBORFactory FACTORY = CBORFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(32).build())
            .build();

    private Cbor() {}

    /** Reads exactly one value; anything else is an IOException. */
    public static Object read(byte[] body) throws IOException {
        try (JsonParser p = FACTORY.createParser(body)) {
            return Trees.read(p);
        }
    }

    public static Map<?, ?> readMap(byte[] body) throws IOException {
        if (read(body) instanceof Map<?, ?> map) {
            return map;
        }
        throw new IOException("not a map");
    }

    public static byte[] write(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (JsonGenerator g = FACTORY.createGenerator(out)) {
            Trees.write(g, value);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return out.toByteArray();
    }
}
