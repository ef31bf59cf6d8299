package garnetscale.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the core depends only on messages and the time that is passed in: no sockets, files, threads, clocks or codecs. */
class CorePurityTest {

    private static final List<String> FORBIDDEN = List.of(
            "io.netty",
            "com.fasterxml",
            "org.apache.avro",
            "java.io.",
            "java.nio",
            "java.net",
            "java.util.concurrent",
            "System.nanoTime",
            "System.currentTimeMillis",
            "Thread",
            "java.time",
            "Random",
            "garnetscale.net",
            "garnetscale.wire",
            "garnetscale.peer",
            "garnetscale.cli",
            "garnetscale.config",
            "garnetscale.controller");

    @Test
    void coreDoesNotUseIoThreadsClocksOrOuterPackages() throws IOException {
        List<Path> sources;
        try (Stream<Path> walk = Files.walk(Path.of("src/main/java/garnetscale/core"))) {
            sources = walk.filter(p -> p.toString().endsWith(".java")).toList();
        }
        assertTrue(sources.size() > 20);
        for (Path p : sources) {
            String code = Files.readString(p);
            assertEquals(List.of(), FORBIDDEN.stream().filter(code::contains).toList(), p.toString());
        }
    }
}
