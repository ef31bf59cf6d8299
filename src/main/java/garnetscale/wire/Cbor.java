package garnetscale.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;

/**
 * Reads and writes CBOR bodies as plain maps, lists, strings, numbers, booleans and nulls, with Jackson's streaming API. It
 * doesn't use data binding, whose initialization would cost a starting process more CPU time than everything else together.
 */
public final class Cbor {

    /** Every level takes a byte, and bodies of workers and users have at most 64 KiB (PROTOCOL). */
    private static final int MAX_NESTING = 64 * 1024;

    private static final CBORFactory FACTORY = CBORFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).build())
            .build();

    private Cbor() {}

    /**
     * Decodes exactly one value.
     *
     * @throws IOException if the body is empty, truncated, nested too deeply or followed by further bytes
     */
    public static Object read(byte[] body) throws IOException {
        try (JsonParser parser = FACTORY.createParser(body)) {
            return Trees.read(parser);
        }
    }

    /**
     * Decodes exactly one map.
     *
     * @throws IOException if the body is malformed or not a map
     */
    public static Map<?, ?> readMap(byte[] body) throws IOException {
        if (read(body) instanceof Map<?, ?> map) {
            return map;
        }
        throw new IOException("not a map");
    }

    /** Encodes a value that consists of maps, lists, strings, numbers, booleans and nulls. */
    public static byte[] write(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (JsonGenerator generator = FACTORY.createGenerator(out)) {
            Trees.write(generator, value);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return out.toByteArray();
    }
}
