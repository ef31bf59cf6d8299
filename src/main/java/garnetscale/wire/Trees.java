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

    private Trees() {}

    /**
     * Reads exactly one value.
     *
     * @throws IOException if there is no value, or it is truncated, of another type or followed by another value
     */
    public static Object read(JsonParser parser) throws IOException {
        if (parser.nextToken() == null) {
            throw new IOException("empty body");
        }
        Object value = value(parser);
        if (parser.nextToken() != null) {
            throw new IOException("more than one value");
        }
        return value;
    }

    private static Object value(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        return switch (token) {
            case START_OBJECT -> {
                Map<String, Object> map = new LinkedHashMap<>();
                while (parser.nextToken() == JsonToken.FIELD_NAME) {
                    String name = parser.currentName();
                    parser.nextToken();
                    map.put(name, value(parser));
                }
                if (parser.currentToken() != JsonToken.END_OBJECT) {
                    throw new IOException("map cut short");
                }
                yield map;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    if (parser.currentToken() == null) {
                        throw new IOException("list cut short");
                    }
                    list.add(value(parser));
                }
                yield list;
            }
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            case VALUE_NULL -> null;
            default -> throw new IOException("not in the protocol: " + token);
        };
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
