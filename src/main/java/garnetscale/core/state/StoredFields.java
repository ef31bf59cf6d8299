package garnetscale.core.state;

import java.util.List;
import java.util.Map;

/**
 * Typed access to the maps and lists that stored values consist of. A field of the wrong type or a missing mandatory field
 * raises a {@link ClassCastException}, {@link NullPointerException} or {@link IndexOutOfBoundsException}, by which
 * {@link ChangeReader} detects a record that can't be read.
 */
final class StoredFields {

    private StoredFields() {}

    /** Returns a text field, or null if it is missing. */
    static String text(Map<?, ?> fields, String key) {
        return (String) fields.get(key);
    }

    static long whole(Map<?, ?> fields, String key) {
        return ((Number) fields.get(key)).longValue();
    }

    static double number(Map<?, ?> fields, String key) {
        return ((Number) fields.get(key)).doubleValue();
    }

    /** Returns whether a flag is set; a missing flag counts as false. */
    static boolean flag(Map<?, ?> fields, String key) {
        return Boolean.TRUE.equals(fields.get(key));
    }

    /** Returns a list field, or an empty list if it is missing. */
    static List<?> list(Map<?, ?> fields, String key) {
        return fields.get(key) instanceof List<?> list ? list : List.of();
    }

    static long whole(List<?> row, int column) {
        return ((Number) row.get(column)).longValue();
    }

    static double number(List<?> row, int column) {
        return ((Number) row.get(column)).doubleValue();
    }

    /** Returns the string values of the elements. */
    static List<String> texts(List<?> list) {
        return list.stream().map(String::valueOf).toList();
    }
}
