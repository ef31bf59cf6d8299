package garnetscale.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetscale.ExpectedEncodings;
import garnetscale.config.InvalidConfigurationException;
import garnetscale.config.Settings;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/**
 * Pins the keys of the settings file, and the command line's subcommands, options and exit codes without a controller. All keys
 * of the features file are checked by {@code FeaturesFileTest}, the other problems of settings by {@code SettingsTest}, and the
 * exit codes of the subcommands that send a request to a controller by {@link OperatorCommandTest}.
 */
class OperatorSurfaceTest {

    private static final ExpectedEncodings EXPECTED = new ExpectedEncodings("operator.txt");
    /** Every known key on a line of its own, with a value other than the key's default if it has one, and one unknown key. */
    private static final String COMPLETE =
            """
            node_name = "n-0"
            site = "a"
            listen = "10.0.0.1:8080"
            back = "10.0.0.1:8081"
            unknown_key = 1
            [[members]]
            node_name = "n-1"
            site = "b"
            endpoint = "10.0.0.2:8081"
            [endpoints]
            cloud = "10.2.0.2:8443"
            state = "10.2.0.1:2379"
            [facts]
            time_bound_ms = 250
            zones = ["a", "b"]
            [[facts.teams]]
            name = "red"
            cpus = 1.0
            cpus_max = 2.0
            gpus = 3.0
            gpus_max = 4.0
            [[facts.objectives]]
            kind = "wait"
            class = "train"
            within_s = 60.0
            share = 0.9
            times = 1.5
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
            list_lag_s = 12.0
            [facts.machine_limits]
            cpu = 0.1
            ram_mb = 148.0
            max_connections = 600
            """;

    @TempDir
    Path directory;

    private Path file(String text) throws IOException {
        return Files.writeString(directory.resolve("settings.toml"), text);
    }

    /**
     * Reads the settings without one line.
     *
     * @return the problems; if there are none, "optional" if the settings read differ from the complete ones, otherwise "ignored"
     */
    private String resultWithoutLine(int number) throws IOException, InvalidConfigurationException {
        List<String> lines = new ArrayList<>(COMPLETE.lines().toList());
        lines.remove(number);
        Settings complete = Settings.read(file(COMPLETE));
        try {
            Settings reduced = Settings.read(file(String.join("\n", lines)));
            return reduced.equals(complete) ? "ignored" : "optional";
        } catch (InvalidConfigurationException e) {
            return String.join("; ", e.problems());
        }
    }

    @Test
    void settingsKeys() throws IOException, InvalidConfigurationException {
        List<String> lines = COMPLETE.lines().toList();
        String table = "";
        for (int number = 0; number < lines.size(); number++) {
            String line = lines.get(number);
            if (line.startsWith("[")) {
                table = line.replaceAll("[\\[\\]]", "") + ".";
            } else {
                String key = table + line.substring(0, line.indexOf(' '));
                EXPECTED.check("settings key " + key, resultWithoutLine(number));
            }
        }
    }

    @Test
    void missingSettings() throws IOException {
        try {
            Settings.read(file("[[members]]\n[[facts.teams]]\n"));
        } catch (InvalidConfigurationException e) {
            EXPECTED.check("settings missing", String.join("; ", e.problems()));
            return;
        }
        throw new AssertionError("settings without a single key were read");
    }

    /** Describes an option by its names, whether it takes a value, and its default. */
    private static String describe(CommandLine.Model.OptionSpec option) {
        String value = option.arity().max() > 0 ? " VALUE" : "";
        String defaultValue = option.defaultValue() == null ? "" : " " + option.defaultValue();
        return String.join("|", option.names()) + value + defaultValue;
    }

    private static void describe(String parent, CommandLine command) {
        String name = (parent + " " + command.getCommandName()).strip();
        String options = command.getCommandSpec().options().stream()
                .map(OperatorSurfaceTest::describe)
                .sorted()
                .collect(Collectors.joining(", "));
        String parameters = command.getCommandSpec().positionalParameters().stream()
                .map(CommandLine.Model.PositionalParamSpec::paramLabel)
                .collect(Collectors.joining(", "));
        EXPECTED.check(
                "command " + name,
                "parameters [" + parameters + "] options [" + options + "] subcommands "
                        + command.getSubcommands().keySet().stream().sorted().toList());
        command.getSubcommands().values().forEach(subcommand -> describe(name, subcommand));
    }

    @Test
    void commandsAndOptions() {
        describe("", new CommandLine(new Main()));
    }

    private static int run(String... arguments) {
        PrintWriter ignored = new PrintWriter(new StringWriter());
        return new CommandLine(new Main()).setOut(ignored).setErr(ignored).execute(arguments);
    }

    @Test
    void exitCodes() throws IOException {
        String valid = file(COMPLETE).toString();
        String invalid =
                Files.writeString(directory.resolve("bad.toml"), "x = 1\n").toString();
        assertEquals(0, run("check", "--config", valid));
        assertEquals(2, run("check", "--config", invalid));
        assertEquals(2, run("check", "--features", invalid));
        assertEquals(2, run("check"));
        assertEquals(2, run("--config", invalid));
        assertEquals(2, run("--features", valid));
        assertEquals(2, run("upgrade"));
        assertEquals(2, run("unknown-verb"));
        assertEquals(0, run("--help"));
        assertEquals(0, run("--version"));
    }
}
