package garnetscale.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import garnetscale.core.Features;
import garnetscale.core.balance.BalanceSettings;
import garnetscale.core.state.Layouts;
import garnetscale.core.upgrade.VersionRange;
import garnetscale.wire.Trees;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The operators' file of features: a table for each, with {@code enabled} and the feature's settings. Unlike in the
 * platform's settings nothing unknown is passed over, since a misspelt name would leave a feature off without a word.
 */
public final class FeaturesFile {

    private static final String ENABLED = "enabled";
    private static final double LEAST_SETTLE = 0.5;
    private static final double MOST_SETTLE = 100;
    private static final double LEAST_FROM = 0.5;
    private static final double FROM = 0.95;
    private static final double MOST_MARGIN = 10;
    private static final double MOST_MOVING = 0.25;

    private final Map<?, ?> root;
    private final Set<Object> known = new HashSet<>();
    private final List<String> faults = new ArrayList<>();

    private FeaturesFile(Map<?, ?> root) {
        this.root = root;
    }

    /** Reads a file; each fault names the key and what may stand there. */
    public static Features read(Path file) throws Settings.Faults {
        try (JsonParser parser = new TomlFactory().createParser(Files.readString(file))) {
            return new FeaturesFile((Map<?, ?>) Trees.read(parser)).features();
        } catch (JsonProcessingException e) {
            throw new Settings.Faults(List.of("not TOML: " + e.getOriginalMessage() + Settings.at(e)));
        } catch (IOException e) {
            throw new Settings.Faults(List.of("can't be read: " + e));
        }
    }

    private Features features() throws Settings.Faults {
        Table upgrade = table("staged_upgrade");
        boolean automatic = upgrade.isEnabled();
        double settle = upgrade.number("settle", LEAST_SETTLE, MOST_SETTLE, Features.DEFAULT_ACTIVATION_DELAY_LEASES);
        int latest = upgrade.whole("latest", Layouts.SUPPORTED.oldest(), Layouts.SUPPORTED.latest());
        upgrade.end();
        Table sharedSockets = table("shared_sockets");
        boolean shared = sharedSockets.isEnabled();
        double from = sharedSockets.number("from", LEAST_FROM, 1, FROM);
        sharedSockets.end();
        BalanceSettings balance = balance();
        for (Object name : root.keySet()) {
            if (!known.contains(name)) {
                faults.add(name + " is no feature; there are " + String.join(", ", sortedNames()));
            }
        }
        if (!faults.isEmpty()) {
            throw new Settings.Faults(faults);
        }
        VersionRange layouts = new VersionRange(Layouts.SUPPORTED.oldest(), latest);
        return new Features(automatic, settle, layouts, shared ? from : Features.NEVER, balance);
    }

    private BalanceSettings balance() {
        Table table = table("balance");
        boolean enabled = table.isEnabled();
        double margin = table.number("margin", 0, MOST_MARGIN, BalanceSettings.MARGIN);
        double moving = table.number("moving", 0, MOST_MOVING, BalanceSettings.MOVING);
        table.end();
        return enabled ? new BalanceSettings(true, margin, moving) : BalanceSettings.OFF;
    }

    private List<String> sortedNames() {
        return known.stream().map(String::valueOf).sorted().toList();
    }

    private Table table(String name) {
        known.add(name);
        Object value = root.get(name);
        if (value != null && !(value instanceof Map<?, ?>)) {
            faults.add(name + " is not a table");
        }
        return new Table(name, value instanceof Map<?, ?> map ? map : Map.of());
    }

    /** One feature's table; a key that isn't asked for before the end is unknown. */
    private final class Table {

        private final String name;
        private final Map<?, ?> values;
        private final List<String> asked = new ArrayList<>();

        Table(String name, Map<?, ?> values) {
            this.name = name;
            this.values = values;
        }

        boolean isEnabled() {
            asked.add(ENABLED);
            Object value = values.get(ENABLED);
            if (value instanceof Boolean enabled) {
                return enabled;
            }
            if (value != null) {
                faults.add(name + "." + ENABLED + " must be true or false");
            } else if (!values.isEmpty()) {
                faults.add(name + "." + ENABLED + " is missing; it is true or false");
            }
            return false;
        }

        /** A version, the latest one where nothing is said. */
        int whole(String key, int least, int most) {
            double value = number(key, least, most, most);
            if (value != Math.rint(value)) {
                faults.add(name + "." + key + " must be a whole number from " + least + " to " + most);
            }
            return (int) value;
        }

        double number(String key, double least, double most, double otherwise) {
            asked.add(key);
            Object value = values.get(key);
            if (value == null) {
                return otherwise;
            }
            if (value instanceof Number n && n.doubleValue() >= least && n.doubleValue() <= most) {
                return n.doubleValue();
            }
            faults.add(name + "." + key + " must be a number from " + least + " to " + most);
            return otherwise;
        }

        void end() {
            for (Object key : values.keySet()) {
                if (!asked.contains(key)) {
                    faults.add(name + "." + key + " is unknown; there are " + String.join(", ", asked));
                }
            }
        }
    }
}
