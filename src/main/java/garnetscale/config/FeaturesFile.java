package garnetscale.config;

import garnetscale.core.Features;
import garnetscale.core.balance.BalanceSettings;
import garnetscale.core.state.Layouts;
import garnetscale.core.upgrade.VersionRange;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads the operators' features file. It has one table for each feature, with the key {@code enabled} and the feature's settings.
 * Unknown names are rejected, unlike those in the platform's settings: otherwise a misspelt name would silently leave a feature
 * disabled.
 */
public final class FeaturesFile {

    private static final String ENABLED = "enabled";
    private static final double MIN_ACTIVATION_DELAY_LEASES = 0.5;
    private static final double MAX_ACTIVATION_DELAY_LEASES = 100;
    private static final double MIN_CLOSE_CONNECTIONS_FROM = 0.5;
    private static final double DEFAULT_CLOSE_CONNECTIONS_FROM = 0.95;
    private static final double MAX_MARGIN = 10;
    private static final double MAX_MOVING = 0.25;

    private final Map<?, ?> root;
    private final Set<Object> knownFeatures = new HashSet<>();
    private final List<String> problems = new ArrayList<>();

    private FeaturesFile(Map<?, ?> root) {
        this.root = root;
    }

    /**
     * Reads a file.
     *
     * @throws InvalidConfigurationException if the file can't be read, or has an unknown feature, an unknown key or an invalid
     *     value; each problem of the content names the feature or key and what is allowed
     */
    public static Features read(Path file) throws InvalidConfigurationException {
        return new FeaturesFile((Map<?, ?>) TomlFile.read(file)).features();
    }

    private Features features() throws InvalidConfigurationException {
        Table upgrade = table("staged_upgrade");
        boolean automaticActivation = upgrade.isEnabled();
        double activationDelayLeases = upgrade.number(
                "settle",
                MIN_ACTIVATION_DELAY_LEASES,
                MAX_ACTIVATION_DELAY_LEASES,
                Features.DEFAULT_ACTIVATION_DELAY_LEASES);
        int latest = upgrade.versionOrMax("latest", Layouts.SUPPORTED.oldest(), Layouts.SUPPORTED.latest());
        upgrade.rejectUnknownKeys();
        Table sharedSockets = table("shared_sockets");
        boolean closesConnections = sharedSockets.isEnabled();
        double closeConnectionsFrom =
                sharedSockets.number("from", MIN_CLOSE_CONNECTIONS_FROM, 1, DEFAULT_CLOSE_CONNECTIONS_FROM);
        sharedSockets.rejectUnknownKeys();
        BalanceSettings balance = balance();
        for (Object name : root.keySet()) {
            if (!knownFeatures.contains(name)) {
                problems.add(name + " is no feature; there are " + String.join(", ", sortedNames()));
            }
        }
        if (!problems.isEmpty()) {
            throw new InvalidConfigurationException(problems);
        }
        VersionRange layouts = new VersionRange(Layouts.SUPPORTED.oldest(), latest);
        return new Features(
                automaticActivation,
                activationDelayLeases,
                layouts,
                closesConnections ? closeConnectionsFrom : Features.NEVER,
                balance);
    }

    private BalanceSettings balance() {
        Table table = table("balance");
        boolean enabled = table.isEnabled();
        double margin = table.number("margin", 0, MAX_MARGIN, BalanceSettings.MARGIN);
        double moving = table.number("moving", 0, MAX_MOVING, BalanceSettings.MOVING);
        table.rejectUnknownKeys();
        return enabled ? new BalanceSettings(true, margin, moving) : BalanceSettings.OFF;
    }

    private List<String> sortedNames() {
        return knownFeatures.stream().map(String::valueOf).sorted().toList();
    }

    private Table table(String name) {
        knownFeatures.add(name);
        Object value = root.get(name);
        if (value != null && !(value instanceof Map<?, ?>)) {
            problems.add(name + " is not a table");
        }
        return new Table(name, value instanceof Map<?, ?> map ? map : Map.of());
    }

    /** One feature's table. Each key that is read becomes known; {@link #rejectUnknownKeys} reports all other keys. */
    private final class Table {

        private final String name;
        private final Map<?, ?> values;
        private final List<String> knownKeys = new ArrayList<>();

        Table(String name, Map<?, ?> values) {
            this.name = name;
            this.values = values;
        }

        boolean isEnabled() {
            knownKeys.add(ENABLED);
            Object value = values.get(ENABLED);
            if (value instanceof Boolean enabled) {
                return enabled;
            }
            if (value != null) {
                problems.add(name + "." + ENABLED + " must be true or false");
            } else if (!values.isEmpty()) {
                problems.add(name + "." + ENABLED + " is missing; it is true or false");
            }
            return false;
        }

        /** Returns a layout version, or {@code max} if the key is missing or its value isn't a number in the range. */
        int versionOrMax(String key, int min, int max) {
            double value = number(key, min, max, max);
            if (value != Math.rint(value)) {
                problems.add(name + "." + key + " must be a whole number from " + min + " to " + max);
            }
            return (int) value;
        }

        double number(String key, double min, double max, double defaultValue) {
            knownKeys.add(key);
            Object value = values.get(key);
            if (value == null) {
                return defaultValue;
            }
            if (value instanceof Number number && number.doubleValue() >= min && number.doubleValue() <= max) {
                return number.doubleValue();
            }
            problems.add(name + "." + key + " must be a number from " + min + " to " + max);
            return defaultValue;
        }

        void rejectUnknownKeys() {
            for (Object key : values.keySet()) {
                if (!knownKeys.contains(key)) {
                    problems.add(name + "." + key + " is unknown; there are " + String.join(", ", knownKeys));
                }
            }
        }
    }
}
