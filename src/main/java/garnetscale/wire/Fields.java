package garnetscale.wire;

import java.io.IOException;
import java.util.List;
import java.util.Map;

/** Typed access to the fields of a decoded body; the message of each exception names the missing or malformed field. */
final class Fields {

    private final Map<?, ?> map;

    Fields(Map<?, ?> map) {
        this.map = map;
    }

    /** Returns the value of a field of any type, or null if the field is missing. */
    Object value(String name) {
        return map.get(name);
    }

    String text(String name) throws IOException {
        String text = textOrNull(name);
        if (text == null) {
            throw new IOException(name + " is missing");
        }
        return text;
    }

    String textOrNull(String name) throws IOException {
        Object value = map.get(name);
        if (value == null || value instanceof String) {
            return (String) value;
        }
        throw new IOException(name + " is not text");
    }

    boolean flag(String name) throws IOException {
        if (map.get(name) instanceof Boolean flag) {
            return flag;
        }
        throw new IOException(name + " is not true or false");
    }

    /** Returns a flag, or false if the field is missing or not a boolean. */
    boolean flagOrFalse(String name) {
        return Boolean.TRUE.equals(map.get(name));
    }

    /** Returns the value of a mandatory field, a finite number that is at least 0. */
    double amount(String name) throws IOException {
        Double amount = amountOrNull(name);
        if (amount == null) {
            throw new IOException(name + " is missing");
        }
        return amount;
    }

    Double amountOrNull(String name) throws IOException {
        Object value = map.get(name);
        if (value == null) {
            return null;
        }
        if (value instanceof Number number) {
            double amount = number.doubleValue();
            if (Double.isFinite(amount) && amount >= 0) {
                return amount;
            }
        }
        throw new IOException(name + " is not a finite number of at least 0");
    }

    long integer(String name) throws IOException {
        Object value = map.get(name);
        if (value instanceof Integer || value instanceof Long) {
            return ((Number) value).longValue();
        }
        throw new IOException(name + " is not an integer");
    }

    long integerOrDefault(String name, long defaultValue) throws IOException {
        return map.get(name) == null ? defaultValue : integer(name);
    }

    List<?> list(String name) throws IOException {
        if (map.get(name) instanceof List<?> list) {
            return list;
        }
        throw new IOException(name + " is not a list");
    }

    List<String> textListOrNull(String name) throws IOException {
        if (map.get(name) == null) {
            return null;
        }
        List<?> list = list(name);
        for (Object item : list) {
            if (!(item instanceof String)) {
                throw new IOException(name + " is not a list of texts");
            }
        }
        return list.stream().map(String.class::cast).toList();
    }

    /** Returns the fields of a nested map; {@code what} names the map in the exception's message. */
    static Fields of(Object value, String what) throws IOException {
        if (value instanceof Map<?, ?> map) {
            return new Fields(map);
        }
        throw new IOException(what + " is not a map");
    }
}
