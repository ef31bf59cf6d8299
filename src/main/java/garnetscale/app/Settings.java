package garnetscale.app;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import garnetscale.core.Params;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The platform's settings file. Unknown fields are ignored; each fault is named with its key. */
record Settings(Params params, String listen, String back, String cloud, String state, double cpuShare, double ramMb) {

    /** What is wrong with a settings file, a line each. */
    static final class Faults extends Exception {

        private final transient List<String> faults;

        Faults(List<String> faults) {
            super(String.join("; ", faults));
            this.faults = faults;
        }

        List<String> faults() {
            return faults;
        }
    }

    static Settings read(Path file) throws Faults {
        JsonNode root;
        try {
            root = new TomlMapper().readTree(Files.readString(file));
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            throw new Faults(List.of("not TOML: " + e.getOriginalMessage() + at(e)));
        } catch (IOException e) {
            throw new Faults(List.of("can't be read: " + e));
        }
        return new Reader(root).settings();
    }

    private static String at(com.fasterxml.jackson.core.JsonProcessingException e) {
        return e.getLocation() == null ? "" : ", line " + e.getLocation().getLineNr();
    }

    private static final class Reader {

        private final JsonNode root;
        private final List<String> faults = new ArrayList<>();

        Reader(JsonNode root) {
            this.root = root;
        }

        Settings settings() throws Faults {
            String self = text(root, "", "node_name");
            String site = text(root, "", "site");
            String listen = address(root, "", "listen");
            String back = address(root, "", "back");
            List<Params.Member> members = new ArrayList<>();
            members.add(new Params.Member(self, site, back));
            int i = 0;
            for (JsonNode m : root.path("members")) {
                String at = "members[" + i++ + "].";
                members.add(new Params.Member(text(m, at, "node_name"), text(m, at, "site"), address(m, at, "endpoint")));
            }
            members.sort(Comparator.comparing(Params.Member::name));
            if (members.stream().map(Params.Member::name).distinct().count() != members.size()) {
                faults.add("members: a node_name stands twice");
            }
            JsonNode ends = root.path("endpoints");
            String cloud = address(ends, "endpoints.", "cloud");
            String state = address(ends, "endpoints.", "state");
            JsonNode facts = root.path("facts");
            List<String> zones = new ArrayList<>();
            facts.path("zones").forEach(z -> zones.add(z.asText()));
            if (zones.isEmpty()) {
                faults.add("facts.zones is missing or empty");
            }
            JsonNode workers = facts.path("workers");
            JsonNode limits = facts.path("machine_limits");
            long report = ms(workers, "facts.workers.", "report_s");
            long lease = ms(workers, "facts.workers.", "lease_s");
            long cancel = ms(workers, "facts.workers.", "cancel_s");
            if (report > 0 && lease > 0 && lease <= report) {
                faults.add("facts.workers.lease_s must be longer than report_s");
            }
            if (lease > 0 && cancel > 0 && cancel <= lease) {
                faults.add("facts.workers.cancel_s must be longer than lease_s");
            }
            Params params = new Params(self, List.copyOf(members), List.copyOf(zones), Params.byName(teams(facts)),
                objectives(facts), report, lease, cancel,
                (int) above0(facts.path("state"), "facts.state.", "txn_ops"),
                above0(facts.path("state"), "facts.state.", "rps"),
                above0(facts.path("state"), "facts.state.", "write_rps"),
                (int) (1024 * above0(facts.path("state"), "facts.state.", "value_kb")),
                above0(facts.path("cloud"), "facts.cloud.", "rps"),
                Math.round(1000 * atLeast0(facts.path("cloud"), "facts.cloud.", "list_lag_s")),
                (int) above0(limits, "facts.machine_limits.", "max_connections"),
                Math.round(facts.path("time_bound_ms").asDouble(0)));
            double cpu = above0(limits, "facts.machine_limits.", "cpu");
            double ram = above0(limits, "facts.machine_limits.", "ram_mb");
            if (params.txnOps() > 0 && params.txnOps() < 16) {
                faults.add("facts.state.txn_ops is below 16");
            }
            if (!faults.isEmpty()) {
                throw new Faults(faults);
            }
            return new Settings(params, listen, back, cloud, state, cpu, ram);
        }

        private List<Params.Team> teams(JsonNode facts) {
            List<Params.Team> teams = new ArrayList<>();
            int i = 0;
            for (JsonNode t : facts.path("teams")) {
                String at = "facts.teams[" + i++ + "].";
                teams.add(new Params.Team(text(t, at, "name"), atLeast0(t, at, "cpus"), limit(t, at, "cpus_max"),
                    atLeast0(t, at, "gpus"), limit(t, at, "gpus_max")));
            }
            if (teams.isEmpty()) {
                faults.add("facts.teams is missing or empty");
            }
            return teams;
        }

        private List<Params.Objective> objectives(JsonNode facts) {
            List<Params.Objective> list = new ArrayList<>();
            for (JsonNode o : facts.path("objectives")) {
                list.add(new Params.Objective(o.path("kind").asText(""), o.path("class").asText(""),
                    o.path("within_s").asDouble(0), o.path("share").asDouble(0), o.path("times").asDouble(0)));
            }
            return List.copyOf(list);
        }

        /** In the settings 0 means none, and a limit that is none limits nothing. */
        private double limit(JsonNode node, String at, String key) {
            double v = atLeast0(node, at, key);
            return v == 0 ? Double.POSITIVE_INFINITY : v;
        }

        private String text(JsonNode node, String at, String key) {
            JsonNode v = node.path(key);
            if (!v.isTextual() || v.asText().isBlank()) {
                faults.add(at + key + (v.isMissingNode() ? " is missing" : " is not text"));
                return "";
            }
            return v.asText();
        }

        private String address(JsonNode node, String at, String key) {
            String s = text(node, at, key);
            if (!s.isEmpty() && !s.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}")) {
                faults.add(at + key + " is not an address like 10.0.0.1:8080");
            }
            return s;
        }

        private double number(JsonNode node, String at, String key, double least, boolean open) {
            JsonNode v = node.path(key);
            if (!v.isNumber()) {
                faults.add(at + key + (v.isMissingNode() ? " is missing" : " is not a number"));
                return 0;
            }
            double d = v.asDouble();
            if (!Double.isFinite(d) || d < least || open && d == least) {
                faults.add(at + key + " must be " + (open ? "above " : "at least ") + (int) least);
                return 0;
            }
            return d;
        }

        private double above0(JsonNode node, String at, String key) {
            return number(node, at, key, 0, true);
        }

        private double atLeast0(JsonNode node, String at, String key) {
            return number(node, at, key, 0, false);
        }

        private long ms(JsonNode node, String at, String key) {
            return Math.round(1000 * above0(node, at, key));
        }
    }
}
