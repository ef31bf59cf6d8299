package garnetscale.core.state;

import java.util.List;
import java.util.Map;

/**
 * Typed access to the maps and lists that stored values are made of. A field of another type, or one that is missing and may
 * not be, raises a {@link ClassCastException}, {@link NullPointerException} or {@link IndexOutOfBoundsException}, by which
 * {@link ChangeReader} knows a record that can't be read.
 */
final class StoredFields {

    private StoredFields() {}

    /** A text, or null. */
    static String text(Map<?, ?> fields, String key) {
        return (String) fields.get(key);
    }

    static long whole(Map<?, ?> fields, String key) {
        return ((Number) fields.get(key)).longValue();
    }

    static double number(Map<?, ?> fields, String key) {
        return ((Number) fields.get(key)).doubleValue();
    }

    /** Whether a flag is set; a missing one isn't. */
    static boolean flag(Map<?, ?> fields, String key) {
        return Boolean.TRUE.equals(fields.get(key));
    }

    /** A list, empty when it is missing. */
    static List<?> list(Map<?, ?> fields, String key) {
        return fields.get(key) instanceof List<?> list ? list : List.of();
    }

    static long whole(List<?> row, int column) {
        return ((Number) row.get(column)).longValue();
    }

    static double number(List<?> row, int column) {
        return ((Number) row.get(column)).doubleValue();
    }

    /** Every element as a text. */
    static List<String> texts(List<?> list) {
        return list.stream().map(String::valueOf).toList();
    }
}
