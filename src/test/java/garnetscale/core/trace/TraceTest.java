package garnetscale.core.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares what the core does now with the recorded traces. {@code -Dtraces=renew} rewrites them; CONTRIBUTING.md says when that
 * is allowed.
 */
class TraceTest {

    private static final Path DIR = Path.of("src/test/resources/traces");

    static List<Path> traces() throws IOException {
        try (Stream<Path> files = Files.list(DIR)) {
            return files.filter(file -> file.toString().endsWith(".trace"))
                    .sorted()
                    .toList();
        }
    }

    @ParameterizedTest
    @MethodSource("traces")
    void playsAsRecorded(Path trace) throws IOException {
        String recorded = Files.readString(trace);
        String played = TraceRunner.play(recorded);
        if ("renew".equals(System.getProperty("traces"))) {
            Files.writeString(trace, played);
        }
        assertEquals(recorded, played);
    }
}
