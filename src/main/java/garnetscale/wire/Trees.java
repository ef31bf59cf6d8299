package garnetscale.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What any of Jackson's streaming parsers brings, as plain maps, lists, texts and numbers. */
public final class Trees {

    private Trees() {}

    /** Reads exactly one value; anything else is an IOException. */
    public static Object read(JsonParser p) throws IOException {
        if (p.nextToken() == null) {
            throw new IOException("empty body");
        }
        Object value = value(p);
        if (p.nextToken() != null) {
            throw new IOException("more than one value");
        }
        return value;
    }

    private static Object value(JsonParser p) throws IOException {
        JsonToken t = p.currentToken();
        return switch (t) {
            case START_OBJECT -> {
                Map<String, Object> map = new LinkedHashMap<>();
                while (p.nextToken() == JsonToken.FIELD_NAME) {
                    String name = p.currentName();
                    p.nextToken();
                    map.put(name, value(p));
                }
                if (p.currentToken() != JsonToken.END_OBJECT) {
                    throw new IOException("map cut short");
                }
                yield map;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (p.nextToken() != JsonToken.END_ARRAY) {
                    if (p.currentToken() == null) {
                        throw new IOException("list cut short");
                    }
                    list.add(value(p));
                }
                yield list;
            }
            case VALUE_STRING -> p.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> p.getNumberValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> null;
            default -> throw new IOException("not in the protocol: " + t);
        };
    }

    /** Writes a value of maps, lists, texts and numbers by any of Jackson's generators. */
    public static void write(JsonGenerator g, Object value) throws IOException {
        if (value instanceof Map<?, ?> map) {
            g.writeStartObject(map, map.size());
            for (Map.Entry<?, ?> e : map.entrySet()) {
                g.writeFieldName((String) e.getKey());
                write(g, e.getValue());
            }
            g.writeEndObject();
        } else if (value instanceof List<?> list) {
            g.writeStartArray(list, list.size());
            for (Object o : list) {
                write(g, o);
            }
            g.writeEndArray();
        } else if (value instanceof String s) {
            g.writeString(s);
        } else if (value instanceof Integer i) {
            g.writeNumber(i);
        } else if (value instanceof Long l) {
            g.writeNumber(l);
        } else if (value instanceof Double d) {
            g.writeNumber(d);
        } else if (value instanceof Boolean b) {
            g.writeBoolean(b);
        } else if (value == null) {
            g.writeNull();
        } else {
            throw new IllegalArgumentException("no form in the protocol for " + value.getClass());
        }
    }
}
