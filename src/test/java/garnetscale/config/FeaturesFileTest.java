package garnetscale.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import garnetscale.core.Features;
import garnetscale.core.balance.BalanceSettings;
import garnetscale.core.state.Layouts;
import garnetscale.core.upgrade.VersionRange;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The features file: features are disabled by default, and each problem is reported with its key and the allowed values. */
class FeaturesFileTest {

    @TempDir
    Path dir;

    private Features read(String text) throws IOException, InvalidConfigurationException {
        return FeaturesFile.read(Files.writeString(dir.resolve("features.toml"), text));
    }

    private List<String> problems(String text) {
        return assertThrows(InvalidConfigurationException.class, () -> read(text))
                .problems();
    }

    @Test
    void featuresAreDisabledByDefault() throws IOException, InvalidConfigurationException {
        assertEquals(Features.NONE, read("# nothing\n"));
        assertEquals(
                Features.NONE,
                read("[staged_upgrade]\nenabled = false\n[shared_sockets]\nenabled = false\nfrom = 0.6\n"));
    }

    @Test
    void readsFeaturesWithTheirSettings() throws IOException, InvalidConfigurationException {
        assertEquals(
                new Features(true, 3, new VersionRange(1, 1), 0.75, BalanceSettings.OFF),
                read(
                        "[staged_upgrade]\nenabled = true\nsettle = 3\nlatest = 1\n[shared_sockets]\nenabled = true\nfrom = 0.75\n"));
        assertEquals(
                new Features(
                        false, Features.DEFAULT_ACTIVATION_DELAY_LEASES, Layouts.SUPPORTED, 0.95, BalanceSettings.OFF),
                read("[shared_sockets]\nenabled = true\n"));
        assertEquals(
                new BalanceSettings(true, 1, BalanceSettings.MOVING),
                read("[balance]\nenabled = true\nmargin = 1\n").balance());
    }

    @Test
    void shippedFileIsValid() throws InvalidConfigurationException {
        assertEquals(
                new Features(
                        true, Features.DEFAULT_ACTIVATION_DELAY_LEASES, Layouts.SUPPORTED, 0.95, BalanceSettings.OFF),
                FeaturesFile.read(Path.of("deploy", "features.toml")));
    }

    @Test
    void reportsEveryProblem() {
        assertEquals(
                List.of(
                        "staged_upgrade.enabled must be true or false",
                        "staged_upgrade.settle must be a number from 0.5 to 100.0",
                        "staged_upgrade.latest must be a whole number from 1 to 2",
                        "staged_upgrade.speed is unknown; there are enabled, settle, latest",
                        "shared_sockets.enabled is missing; it is true or false",
                        "shared_sockets.from must be a number from 0.5 to 1.0",
                        "balance.margin must be a number from 0.0 to 10.0",
                        "balance.moving must be a number from 0.0 to 0.25",
                        "balance.speed is unknown; there are enabled, margin, moving",
                        "upgrade is no feature; there are balance, shared_sockets, staged_upgrade"),
                problems(
                        """
                        [staged_upgrade]
                        enabled = 1
                        settle = 0
                        latest = 1.5
                        speed = 2
                        [shared_sockets]
                        from = 1.5
                        [balance]
                        enabled = true
                        margin = -1
                        moving = 0.5
                        speed = 2
                        [upgrade]
                        enabled = true
                        """));
        assertEquals(List.of("staged_upgrade is not a table"), problems("staged_upgrade = true\n"));
        assertEquals(1, problems("[staged_upgrade\n").size());
    }

    @Test
    void rejectsMissingFile() {
        assertThrows(InvalidConfigurationException.class, () -> FeaturesFile.read(dir.resolve("none.toml")));
    }
}
