package garnetscale.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads and writes trees of plain maps, lists, strings, numbers, booleans and nulls with Jackson's streaming parsers and
 * generators, which determine the format.
 */
public final class Trees {

    /**
     * Number of nested maps and lists that are read; those inside them are skipped. The fields of the protocol are nested less, and
     * unknown fields are ignored. The limit bounds the recursion, and with it the stack.
     */
    private static final int MAX_DEPTH = 32;

    private Trees() {}

    /**
     * Reads exactly one value. Maps and lists that are nested more than {@link #MAX_DEPTH} deep are read as empty ones.
     *
     * @throws IOException if there is no value, or it is truncated, of another type or followed by another value
     */
    public static Object read(JsonParser parser) throws IOException {
        if (parser.nextToken() == null) {
            throw new IOException("empty body");
        }
        Object value = value(parser, 0);
        if (parser.nextToken() != null) {
            throw new IOException("more than one value");
        }
        return value;
    }

    /** Reads the value at the current token, which is nested in {@code depth} maps and lists. */
    private static Object value(JsonParser parser, int depth) throws IOException {
        JsonToken token = parser.currentToken();
        return switch (token) {
            case START_OBJECT -> depth < MAX_DEPTH ? map(parser, depth + 1) : skipped(parser, Map.of());
            case START_ARRAY -> depth < MAX_DEPTH ? list(parser, depth + 1) : skipped(parser, List.of());
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            case VALUE_NULL -> null;
            default -> throw new IOException("not in the protocol: " + token);
        };
    }

    private static Map<String, Object> map(JsonParser parser, int depth) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            map.put(name, value(parser, depth));
        }
        if (parser.currentToken() != JsonToken.END_OBJECT) {
            throw new IOException("map cut short");
        }
        return map;
    }

    private static List<Object> list(JsonParser parser, int depth) throws IOException {
        List<Object> list = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken() == null) {
                throw new IOException("list cut short");
            }
            list.add(value(parser, depth));
        }
        return list;
    }

    /** Skips the map or list at the current token without recursion, and returns {@code empty} in its place. */
    private static Object skipped(JsonParser parser, Object empty) throws IOException {
        parser.skipChildren();
        return empty;
    }

    /**
     * Writes a value.
     *
     * @throws IllegalArgumentException if the value is or contains something other than a map, list, string, integer, long,
     *     double, boolean or null
     */
    public static void write(JsonGenerator generator, Object value) throws IOException {
        if (value instanceof Map<?, ?> map) {
            generator.writeStartObject(map, map.size());
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                generator.writeFieldName((String) entry.getKey());
                write(generator, entry.getValue());
            }
            generator.writeEndObject();
        } else if (value instanceof List<?> list) {
            generator.writeStartArray(list, list.size());
            for (Object item : list) {
                write(generator, item);
            }
            generator.writeEndArray();
        } else if (value instanceof String text) {
            generator.writeString(text);
        } else if (value instanceof Integer number) {
            generator.writeNumber(number);
        } else if (value instanceof Long number) {
            generator.writeNumber(number);
        } else if (value instanceof Double number) {
            generator.writeNumber(number);
        } else if (value instanceof Boolean flag) {
            generator.writeBoolean(flag);
        } else if (value == null) {
            generator.writeNull();
        } else {
            throw new IllegalArgumentException("no encoding for values of " + value.getClass());
        }
    }
}
