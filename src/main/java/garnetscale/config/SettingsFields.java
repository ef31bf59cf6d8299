package garnetscale.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads typed fields of a settings file and collects their problems. A missing or invalid field is read as 0 or empty, so that
 * the remaining fields are still checked. The static methods, for tables, lists and optional fields, report no problem. {@code
 * prefix} is the table's path, which precedes the key in a problem's text.
 */
final class SettingsFields {

    private static final String ADDRESS_PATTERN = "[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}";

    private final List<String> problems = new ArrayList<>();

    void addProblem(String problem) {
        problems.add(problem);
    }

    void requireNoProblems() throws InvalidConfigurationException {
        if (!problems.isEmpty()) {
            throw new InvalidConfigurationException(problems);
        }
    }

    /** Returns the value of a key; null if the key is missing or {@code table} isn't a table. */
    static Object child(Object table, String key) {
        return table instanceof Map<?, ?> map ? map.get(key) : null;
    }

    static List<?> list(Object table, String key) {
        return child(table, key) instanceof List<?> list ? list : List.of();
    }

    static String textOrEmpty(Object table, String key) {
        return child(table, key) instanceof String text ? text : "";
    }

    static double numberOrZero(Object table, String key) {
        return child(table, key) instanceof Number number ? number.doubleValue() : 0;
    }

    String text(Object table, String prefix, String key) {
        Object value = child(table, key);
        if (!(value instanceof String text) || text.isBlank()) {
            addProblem(prefix + key + (value == null ? " is missing" : " is not text"));
            return "";
        }
        return text;
    }

    String address(Object table, String prefix, String key) {
        String address = text(table, prefix, key);
        if (!address.isEmpty() && !address.matches(ADDRESS_PATTERN)) {
            addProblem(prefix + key + " is not an address like 10.0.0.1:8080");
        }
        return address;
    }

    /** Reads a limit. A value of 0 in the settings means no limit and is returned as infinity. */
    double limit(Object table, String prefix, String key) {
        double limit = atLeastZero(table, prefix, key);
        return limit == 0 ? Double.POSITIVE_INFINITY : limit;
    }

    double positive(Object table, String prefix, String key) {
        return number(table, prefix, key, false);
    }

    double atLeastZero(Object table, String prefix, String key) {
        return number(table, prefix, key, true);
    }

    /** Reads a positive number of seconds and returns it in milliseconds. */
    long milliseconds(Object table, String prefix, String key) {
        return Math.round(1000 * positive(table, prefix, key));
    }

    private double number(Object table, String prefix, String key, boolean zeroAllowed) {
        Object value = child(table, key);
        if (!(value instanceof Number number)) {
            addProblem(prefix + key + (value == null ? " is missing" : " is not a number"));
            return 0;
        }
        double amount = number.doubleValue();
        if (!Double.isFinite(amount) || amount < 0 || !zeroAllowed && amount == 0) {
            addProblem(prefix + key + " must be " + (zeroAllowed ? "at least 0" : "above 0"));
            return 0;
        }
        return amount;
    }
}
