package garnetscale.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import garnetscale.core.Features;
import garnetscale.core.SchedulerConfig;
import garnetscale.wire.Trees;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The platform's settings file. Unknown fields are ignored; each fault is named with its key. */
public record Settings(
        SchedulerConfig config, String listen, String back, String cloud, String state, double cpuShare, double ramMb) {

    /** What is wrong with a settings file, a line each. */
    public static final class Faults extends Exception {

        private final transient List<String> faults;

        Faults(List<String> faults) {
            super(String.join("; ", faults));
            this.faults = faults;
        }

        public List<String> faults() {
            return faults;
        }
    }

    /** The settings of a controller on which nothing is switched on. */
    public static Settings read(Path file) throws Faults {
        return read(file, Features.NONE);
    }

    public static Settings read(Path file, Features features) throws Faults {
        Object root;
        // The parser alone: to make a mapper, which this has no use for, took a third of the whole start-up.
        try (JsonParser p = new TomlFactory().createParser(Files.readString(file))) {
            root = Trees.read(p);
        } catch (JsonProcessingException e) {
            throw new Faults(List.of("not TOML: " + e.getOriginalMessage() + at(e)));
        } catch (IOException e) {
            throw new Faults(List.of("can't be read: " + e));
        }
        return new Reader(root).settings(features);
    }

    static String at(JsonProcessingException e) {
        return e.getLocation() == null ? "" : ", line " + e.getLocation().getLineNr();
    }

    private static final class Reader {

        private final Object root;
        private final List<String> faults = new ArrayList<>();

        Reader(Object root) {
            this.root = root;
        }

        Settings settings(Features features) throws Faults {
            String self = text(root, "", "node_name");
            String site = text(root, "", "site");
            String listen = address(root, "", "listen");
            String back = address(root, "", "back");
            List<SchedulerConfig.ControllerAddress> controllers = new ArrayList<>();
            controllers.add(new SchedulerConfig.ControllerAddress(self, site, back));
            int i = 0;
            for (Object m : list(root, "members")) {
                String at = "members[" + i++ + "].";
                controllers.add(new SchedulerConfig.ControllerAddress(
                        text(m, at, "node_name"), text(m, at, "site"), address(m, at, "endpoint")));
            }
            // No Comparator.comparing: its lambda belongs to the platform's own classes, which the archive has without.
            controllers.sort((a, b) -> a.name().compareTo(b.name()));
            if (controllers.stream()
                            .map(SchedulerConfig.ControllerAddress::name)
                            .distinct()
                            .count()
                    != controllers.size()) {
                faults.add("members: a node_name stands twice");
            }
            Object ends = path(root, "endpoints");
            String cloud = address(ends, "endpoints.", "cloud");
            String state = address(ends, "endpoints.", "state");
            Object facts = path(root, "facts");
            List<String> zones = new ArrayList<>();
            list(facts, "zones").forEach(z -> zones.add(String.valueOf(z)));
            if (zones.isEmpty()) {
                faults.add("facts.zones is missing or empty");
            }
            Object workers = path(facts, "workers");
            Object limits = path(facts, "machine_limits");
            long heartbeat = ms(workers, "facts.workers.", "report_s");
            long lease = ms(workers, "facts.workers.", "lease_s");
            long cancel = ms(workers, "facts.workers.", "cancel_s");
            if (heartbeat > 0 && lease > 0 && lease <= heartbeat) {
                faults.add("facts.workers.lease_s must be longer than report_s");
            }
            if (lease > 0 && cancel > 0 && cancel <= lease) {
                faults.add("facts.workers.cancel_s must be longer than lease_s");
            }
            SchedulerConfig config = new SchedulerConfig(
                    self,
                    List.copyOf(controllers),
                    List.copyOf(zones),
                    SchedulerConfig.byName(teams(facts)),
                    objectives(facts),
                    heartbeat,
                    lease,
                    cancel,
                    (int) above0(path(facts, "state"), "facts.state.", "txn_ops"),
                    above0(path(facts, "state"), "facts.state.", "rps"),
                    above0(path(facts, "state"), "facts.state.", "write_rps"),
                    (int) (1024 * above0(path(facts, "state"), "facts.state.", "value_kb")),
                    above0(path(facts, "cloud"), "facts.cloud.", "rps"),
                    Math.round(1000 * atLeast0(path(facts, "cloud"), "facts.cloud.", "list_lag_s")),
                    (int) above0(limits, "facts.machine_limits.", "max_connections"),
                    Math.round(numberOr0(facts, "time_bound_ms")),
                    features);
            double cpu = above0(limits, "facts.machine_limits.", "cpu");
            double ram = above0(limits, "facts.machine_limits.", "ram_mb");
            if (config.maxTransactionOperations() > 0 && config.maxTransactionOperations() < 16) {
                faults.add("facts.state.txn_ops is below 16");
            }
            if (!faults.isEmpty()) {
                throw new Faults(faults);
            }
            return new Settings(config, listen, back, cloud, state, cpu, ram);
        }

        /** What stands under a key; null where there is no such key, or no table that could have it. */
        private static Object path(Object node, String key) {
            return node instanceof Map<?, ?> map ? map.get(key) : null;
        }

        private static List<?> list(Object node, String key) {
            return path(node, key) instanceof List<?> list ? list : List.of();
        }

        private static String textOrEmpty(Object node, String key) {
            return path(node, key) instanceof String s ? s : "";
        }

        private static double numberOr0(Object node, String key) {
            return path(node, key) instanceof Number n ? n.doubleValue() : 0;
        }

        private List<SchedulerConfig.Team> teams(Object facts) {
            List<SchedulerConfig.Team> teams = new ArrayList<>();
            int i = 0;
            for (Object t : list(facts, "teams")) {
                String at = "facts.teams[" + i++ + "].";
                teams.add(new SchedulerConfig.Team(
                        text(t, at, "name"),
                        atLeast0(t, at, "cpus"),
                        limit(t, at, "cpus_max"),
                        atLeast0(t, at, "gpus"),
                        limit(t, at, "gpus_max")));
            }
            if (teams.isEmpty()) {
                faults.add("facts.teams is missing or empty");
            }
            return teams;
        }

        private List<SchedulerConfig.ServiceLevelObjective> objectives(Object facts) {
            List<SchedulerConfig.ServiceLevelObjective> list = new ArrayList<>();
            for (Object o : list(facts, "objectives")) {
                list.add(new SchedulerConfig.ServiceLevelObjective(
                        objectiveKind(textOrEmpty(o, "kind")),
                        textOrEmpty(o, "class"),
                        numberOr0(o, "within_s"),
                        numberOr0(o, "share"),
                        numberOr0(o, "times")));
            }
            return List.copyOf(list);
        }

        /** Kinds that this version doesn't know are accepted, and nothing is done for them. */
        private static SchedulerConfig.ObjectiveKind objectiveKind(String word) {
            return switch (word) {
                case "wait" -> SchedulerConfig.ObjectiveKind.START;
                case "finished" -> SchedulerConfig.ObjectiveKind.COMPLETION;
                case "deadline" -> SchedulerConfig.ObjectiveKind.DEADLINE;
                case "guarantee" -> SchedulerConfig.ObjectiveKind.GUARANTEE;
                default -> SchedulerConfig.ObjectiveKind.OTHER;
            };
        }

        /** In the settings 0 means none, and a limit that is none limits nothing. */
        private double limit(Object node, String at, String key) {
            double v = atLeast0(node, at, key);
            return v == 0 ? Double.POSITIVE_INFINITY : v;
        }

        private String text(Object node, String at, String key) {
            Object v = path(node, key);
            if (!(v instanceof String text) || text.isBlank()) {
                faults.add(at + key + (v == null ? " is missing" : " is not text"));
                return "";
            }
            return text;
        }

        private String address(Object node, String at, String key) {
            String s = text(node, at, key);
            if (!s.isEmpty() && !s.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}")) {
                faults.add(at + key + " is not an address like 10.0.0.1:8080");
            }
            return s;
        }

        private double number(Object node, String at, String key, double least, boolean open) {
            Object v = path(node, key);
            if (!(v instanceof Number n)) {
                faults.add(at + key + (v == null ? " is missing" : " is not a number"));
                return 0;
            }
            double d = n.doubleValue();
            if (!Double.isFinite(d) || d < least || open && d == least) {
                faults.add(at + key + " must be " + (open ? "above " : "at least ") + (int) least);
                return 0;
            }
            return d;
        }

        private double above0(Object node, String at, String key) {
            return number(node, at, key, 0, true);
        }

        private double atLeast0(Object node, String at, String key) {
            return number(node, at, key, 0, false);
        }

        private long ms(Object node, String at, String key) {
            return Math.round(1000 * above0(node, at, key));
        }
    }
}
