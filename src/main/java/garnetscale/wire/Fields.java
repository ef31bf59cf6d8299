package garnetscale.wire;

import java.io.IOException;
import java.util.List;
import java.util.Map;

/** Reads fields of a decoded body, naming the field that is at fault. */
final class Fields {

    private final Map<?, ?> map;

    Fields(Map<?, ?> map) {
        this.map = map;
    }

    String text(String name) throws IOException {
        String s = textOrNull(name);
        if (s == null) {
            throw new IOException(name + " is missing");
        }
        return s;
    }

    String textOrNull(String name) throws IOException {
        Object v = map.get(name);
        if (v == null || v instanceof String) {
            return (String) v;
        }
        throw new IOException(name + " is not text");
    }

    boolean flag(String name) throws IOException {
        if (map.get(name) instanceof Boolean b) {
            return b;
        }
        throw new IOException(name + " is not true or false");
    }

    boolean flagOrFalse(String name) {
        return Boolean.TRUE.equals(map.get(name));
    }

    /** A finite number of at least zero. */
    double amount(String name) throws IOException {
        Double d = amountOrNull(name);
        if (d == null) {
            throw new IOException(name + " is missing");
        }
        return d;
    }

    Double amountOrNull(String name) throws IOException {
        Object v = map.get(name);
        if (v == null) {
            return null;
        }
        if (v instanceof Number n) {
            double d = n.doubleValue();
            if (Double.isFinite(d) && d >= 0) {
                return d;
            }
        }
        throw new IOException(name + " is not a finite number of at least 0");
    }

    long whole(String name) throws IOException {
        Object v = map.get(name);
        if (v instanceof Integer || v instanceof Long) {
            return ((Number) v).longValue();
        }
        throw new IOException(name + " is not an integer");
    }

    long wholeOr(String name, long other) throws IOException {
        return map.get(name) == null ? other : whole(name);
    }

    List<?> list(String name) throws IOException {
        if (map.get(name) instanceof List<?> l) {
            return l;
        }
        throw new IOException(name + " is not a list");
    }

    List<String> textsOrNull(String name) throws IOException {
        if (map.get(name) == null) {
            return null;
        }
        List<?> l = list(name);
        for (Object o : l) {
            if (!(o instanceof String)) {
                throw new IOException(name + " is not a list of texts");
            }
        }
        return l.stream().map(String.class::cast).toList();
    }

    static Fields of(Object value, String what) throws IOException {
        if (value instanceof Map<?, ?> m) {
            return new Fields(m);
        }
        throw new IOException(what + " is not a map");
    }
}
