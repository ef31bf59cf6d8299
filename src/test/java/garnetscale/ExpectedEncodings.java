package garnetscale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Expected encodings in a file with one line per item: {@code name = text}. {@code -Dencoded=renew} rewrites the file instead of
 * comparing. Use it only when an encoding is meant to change; the diff of the file then shows the change.
 */
public final class ExpectedEncodings {

    private static final Path DIRECTORY = Path.of("src/test/resources/encoded");
    private static final String SEPARATOR = " = ";
    private static final boolean RENEW = "renew".equals(System.getProperty("encoded"));

    private final Path file;

    public ExpectedEncodings(String fileName) {
        this.file = DIRECTORY.resolve(fileName);
    }

    /** Checks a text against the item with the given name. */
    public void check(String name, String actual) {
        try {
            if (RENEW) {
                renew(name, actual);
                return;
            }
            assertEquals(read().get(name), actual, file.getFileName() + ": " + name);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    public void check(String name, byte[] actual) {
        check(name, HexFormat.of().formatHex(actual));
    }

    /** Checks several encodings against one item, so that none can be left out. */
    public void check(String name, List<byte[]> actual) {
        check(name, actual.stream().map(HexFormat.of()::formatHex).collect(Collectors.joining(" ")));
    }

    /** Checks a tree of maps, lists, strings and numbers. */
    public void checkTree(String name, Object actual) {
        check(name, canonical(actual));
    }

    private Map<String, String> read() throws IOException {
        Map<String, String> items = new TreeMap<>();
        for (String line : Files.readAllLines(file)) {
            int end = line.indexOf(SEPARATOR);
            items.put(line.substring(0, end), line.substring(end + SEPARATOR.length()));
        }
        return items;
    }

    private void renew(String name, String text) throws IOException {
        Map<String, String> items = Files.exists(file) ? read() : new TreeMap<>();
        items.put(name, text);
        StringBuilder lines = new StringBuilder();
        items.forEach((key, value) ->
                lines.append(key).append(SEPARATOR).append(value).append('\n'));
        Files.createDirectories(DIRECTORY);
        Files.writeString(file, lines);
    }

    /**
     * Returns a value as JSON with sorted keys, because {@code Map.of} has no fixed order. A long has the suffix L, a double has a
     * decimal point.
     */
    public static String canonical(Object value) {
        if (value instanceof Map<?, ?> map) {
            Map<String, String> sorted = new TreeMap<>();
            map.forEach((key, item) -> sorted.put(quoted((String) key), canonical(item)));
            return sorted.entrySet().stream()
                    .map(entry -> entry.getKey() + ":" + entry.getValue())
                    .collect(Collectors.joining(",", "{", "}"));
        }
        if (value instanceof List<?> list) {
            return list.stream().map(ExpectedEncodings::canonical).collect(Collectors.joining(",", "[", "]"));
        }
        if (value instanceof String text) {
            return quoted(text);
        }
        boolean isPlain =
                value == null || value instanceof Integer || value instanceof Double || value instanceof Boolean;
        if (!isPlain && !(value instanceof Long)) {
            throw new IllegalArgumentException("no canonical text for values of " + value.getClass());
        }
        return value + (value instanceof Long ? "L" : "");
    }

    private static String quoted(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
    }
}
