package garnetscale.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import garnetscale.core.Features;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The operators' file: everything off unless said, and every fault named with its key and what may stand there. */
class FeaturesFileTest {

    @TempDir
    Path dir;

    private Features read(String text) throws IOException, Settings.Faults {
        return FeaturesFile.read(Files.writeString(dir.resolve("features.toml"), text));
    }

    private List<String> faults(String text) {
        return assertThrows(Settings.Faults.class, () -> read(text)).faults();
    }

    @Test
    void whatIsNotNamedIsOff() throws IOException, Settings.Faults {
        assertEquals(Features.NONE, read("# nothing\n"));
        assertEquals(
                Features.NONE, read("[growing_log]\nenabled = false\n[shared_sockets]\nenabled = false\nfrom = 0.6\n"));
    }

    @Test
    void featuresAreReadWithTheirSettings() throws IOException, Settings.Faults {
        assertEquals(
                new Features(true, 0.75),
                read("[growing_log]\nenabled = true\n[shared_sockets]\nenabled = true\nfrom = 0.75\n"));
        assertEquals(new Features(false, 0.95), read("[shared_sockets]\nenabled = true\n"));
    }

    @Test
    void theShippedFileIsGood() throws Settings.Faults {
        assertEquals(new Features(true, 0.95), FeaturesFile.read(Path.of("deploy", "features.toml")));
    }

    @Test
    void everyFaultIsNamed() {
        assertEquals(
                List.of(
                        "growing_log.enabled must be true or false",
                        "growing_log.speed is unknown; there are enabled",
                        "shared_sockets.enabled is missing; it is true or false",
                        "shared_sockets.from must be a number from 0.5 to 1.0",
                        "growinglog is no feature; there are growing_log, shared_sockets"),
                faults(
                        "[growing_log]\nenabled = 1\nspeed = 2\n[shared_sockets]\nfrom = 1.5\n[growinglog]\nenabled = true\n"));
        assertEquals(List.of("growing_log is not a table"), faults("growing_log = true\n"));
        assertEquals(1, faults("[growing_log\n").size());
    }

    @Test
    void aFileThatIsNotThereIsAFault() {
        assertThrows(Settings.Faults.class, () -> FeaturesFile.read(dir.resolve("none.toml")));
    }
}
