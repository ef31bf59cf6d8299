package garnetscale.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The settings file: required keys, unknown keys, and the reporting of problems. */
class SettingsTest {

    private static final String VALID =
            """
        node_name = "hive-0"
        site = "a"
        listen = "10.0.0.1:8080"
        back = "10.0.0.1:8081"
        unheard_of = true
        [[members]]
        node_name = "hive-1"
        site = "b"
        endpoint = "10.0.0.2:8081"
        [endpoints]
        cloud = "10.2.0.2:8443"
        state = "10.2.0.1:2379"
        [facts]
        zones = ["a", "b"]
        [[facts.teams]]
        name = "t"
        cpus = 0.0
        cpus_max = 0.0
        gpus = 0.0
        gpus_max = 2.0
        [facts.workers]
        report_s = 1.0
        lease_s = 10.0
        cancel_s = 35.0
        [facts.state]
        rps = 150.0
        write_rps = 60.0
        value_kb = 16.0
        txn_ops = 24
        [facts.cloud]
        rps = 1.5
        list_lag_s = 10.0
        [facts.machine_limits]
        cpu = 0.1
        ram_mb = 148.0
        max_connections = 600
        """;

    @TempDir
    Path dir;

    private Settings read(String text) throws IOException, InvalidConfigurationException {
        return Settings.read(Files.writeString(dir.resolve("s.toml"), text));
    }

    private List<String> problems(String text) {
        return assertThrows(InvalidConfigurationException.class, () -> read(text))
                .problems();
    }

    @Test
    void readsKnownKeysAndIgnoresUnknownKeys() throws IOException, InvalidConfigurationException {
        Settings settings = read(VALID);
        assertEquals(2, settings.config().controllers().size());
        assertEquals(
                Double.POSITIVE_INFINITY, settings.config().teams().get("t").cpusMax());
        assertEquals(2.0, settings.config().teams().get("t").gpusMax());
        assertTrue(settings.config().graceMs() + settings.config().workerLeaseMs()
                < settings.config().cancellationDeadlineMs());
    }

    @Test
    void exampleFileIsValid() throws InvalidConfigurationException {
        Settings example = Settings.read(Path.of("deploy", "settings.example.toml"));
        assertEquals(2, example.config().controllers().size());
    }

    @Test
    void reportsEachProblemWithItsKey() {
        assertEquals(List.of("facts.workers.lease_s is missing"), problems(VALID.replace("lease_s = 10.0", "")));
        assertEquals(
                List.of("facts.state.rps must be above 0"), problems(VALID.replace("\nrps = 150.0", "\nrps = -1.0")));
        assertEquals(
                List.of("facts.workers.cancel_s must be longer than lease_s"),
                problems(VALID.replace("cancel_s = 35.0", "cancel_s = 9.0")));
        assertEquals(
                List.of("listen is not an address like 10.0.0.1:8080", "members[0].endpoint is missing"),
                problems(VALID.replace("listen = \"10.0.0.1:8080\"", "listen = \"here\"")
                        .replace("endpoint =", "end =")));
        assertEquals(List.of("members: a node_name stands twice"), problems(VALID.replace("hive-1", "hive-0")));
        assertTrue(problems("node_name = ").get(0).startsWith("not TOML"));
    }
}
