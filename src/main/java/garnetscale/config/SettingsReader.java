package garnetscale.config;

import garnetscale.core.Features;
import garnetscale.core.SchedulerConfig;
import java.util.ArrayList;
import java.util.List;

/** Maps the keys of a settings file to {@link Settings}. Collects all problems of the file before rejecting it. */
final class SettingsReader {

    /** Minimum of {@code txn_ops}, the most operations in a transaction: the leader's smallest transaction needs this many. */
    private static final int MIN_TRANSACTION_OPERATIONS = 16;

    private final Object root;
    private final Features features;
    private final SettingsFields fields = new SettingsFields();

    SettingsReader(Object root, Features features) {
        this.root = root;
        this.features = features;
    }

    /** Reads and validates the file; problems are listed in the order in which the fields are read. */
    Settings read() throws InvalidConfigurationException {
        String self = fields.text(root, "", "node_name");
        String zone = fields.text(root, "", "site");
        String listenAddress = fields.address(root, "", "listen");
        String peerAddress = fields.address(root, "", "back");
        List<SchedulerConfig.ControllerAddress> controllers =
                controllers(new SchedulerConfig.ControllerAddress(self, zone, peerAddress));
        Object endpoints = SettingsFields.child(root, "endpoints");
        String cloudAddress = fields.address(endpoints, "endpoints.", "cloud");
        String stateAddress = fields.address(endpoints, "endpoints.", "state");
        Object facts = SettingsFields.child(root, "facts");
        SchedulerConfig config = config(self, controllers, facts);
        Object limits = SettingsFields.child(facts, "machine_limits");
        double cpuShare = fields.positive(limits, "facts.machine_limits.", "cpu");
        double ramMb = fields.positive(limits, "facts.machine_limits.", "ram_mb");
        if (config.maxTransactionOperations() > 0 && config.maxTransactionOperations() < MIN_TRANSACTION_OPERATIONS) {
            fields.addProblem("facts.state.txn_ops is below " + MIN_TRANSACTION_OPERATIONS);
        }
        fields.requireNoProblems();
        return new Settings(config, listenAddress, peerAddress, cloudAddress, stateAddress, cpuShare, ramMb);
    }

    private List<SchedulerConfig.ControllerAddress> controllers(SchedulerConfig.ControllerAddress self) {
        List<SchedulerConfig.ControllerAddress> controllers = new ArrayList<>();
        controllers.add(self);
        int index = 0;
        for (Object member : SettingsFields.list(root, "members")) {
            String prefix = "members[" + index++ + "].";
            controllers.add(new SchedulerConfig.ControllerAddress(
                    fields.text(member, prefix, "node_name"),
                    fields.text(member, prefix, "site"),
                    fields.address(member, prefix, "endpoint")));
        }
        // Comparator.comparing isn't used because its lambda is in a JDK class, and the class archive holds JDK classes
        // without their lambdas.
        controllers.sort((first, second) -> first.name().compareTo(second.name()));
        if (controllers.stream()
                        .map(SchedulerConfig.ControllerAddress::name)
                        .distinct()
                        .count()
                != controllers.size()) {
            fields.addProblem("members: a node_name stands twice");
        }
        return controllers;
    }

    private SchedulerConfig config(String self, List<SchedulerConfig.ControllerAddress> controllers, Object facts) {
        List<String> zones = zones(facts);
        Object workers = SettingsFields.child(facts, "workers");
        Object state = SettingsFields.child(facts, "state");
        Object cloud = SettingsFields.child(facts, "cloud");
        Object limits = SettingsFields.child(facts, "machine_limits");
        long heartbeatIntervalMs = fields.milliseconds(workers, "facts.workers.", "report_s");
        long leaseMs = fields.milliseconds(workers, "facts.workers.", "lease_s");
        long cancellationMs = fields.milliseconds(workers, "facts.workers.", "cancel_s");
        checkOrder(heartbeatIntervalMs, leaseMs, cancellationMs);
        return new SchedulerConfig(
                self,
                List.copyOf(controllers),
                List.copyOf(zones),
                SchedulerConfig.byName(teams(facts)),
                objectives(facts),
                heartbeatIntervalMs,
                leaseMs,
                cancellationMs,
                (int) fields.positive(state, "facts.state.", "txn_ops"),
                fields.positive(state, "facts.state.", "rps"),
                fields.positive(state, "facts.state.", "write_rps"),
                (int) (1024 * fields.positive(state, "facts.state.", "value_kb")),
                fields.positive(cloud, "facts.cloud.", "rps"),
                Math.round(1000 * fields.atLeastZero(cloud, "facts.cloud.", "list_lag_s")),
                (int) fields.positive(limits, "facts.machine_limits.", "max_connections"),
                Math.round(SettingsFields.numberOrZero(facts, "time_bound_ms")),
                features);
    }

    private List<String> zones(Object facts) {
        List<String> zones = new ArrayList<>();
        SettingsFields.list(facts, "zones").forEach(zone -> zones.add(String.valueOf(zone)));
        if (zones.isEmpty()) {
            fields.addProblem("facts.zones is missing or empty");
        }
        return zones;
    }

    /** Checks that each time is longer than the one before it. A time of 0 was already reported as missing or invalid. */
    private void checkOrder(long heartbeatIntervalMs, long leaseMs, long cancellationMs) {
        if (heartbeatIntervalMs > 0 && leaseMs > 0 && leaseMs <= heartbeatIntervalMs) {
            fields.addProblem("facts.workers.lease_s must be longer than report_s");
        }
        if (leaseMs > 0 && cancellationMs > 0 && cancellationMs <= leaseMs) {
            fields.addProblem("facts.workers.cancel_s must be longer than lease_s");
        }
    }

    private List<SchedulerConfig.Team> teams(Object facts) {
        List<SchedulerConfig.Team> teams = new ArrayList<>();
        int index = 0;
        for (Object team : SettingsFields.list(facts, "teams")) {
            String prefix = "facts.teams[" + index++ + "].";
            teams.add(new SchedulerConfig.Team(
                    fields.text(team, prefix, "name"),
                    fields.atLeastZero(team, prefix, "cpus"),
                    fields.limit(team, prefix, "cpus_max"),
                    fields.atLeastZero(team, prefix, "gpus"),
                    fields.limit(team, prefix, "gpus_max")));
        }
        if (teams.isEmpty()) {
            fields.addProblem("facts.teams is missing or empty");
        }
        return teams;
    }

    private static List<SchedulerConfig.ServiceLevelObjective> objectives(Object facts) {
        List<SchedulerConfig.ServiceLevelObjective> objectives = new ArrayList<>();
        for (Object objective : SettingsFields.list(facts, "objectives")) {
            objectives.add(new SchedulerConfig.ServiceLevelObjective(
                    objectiveKind(SettingsFields.textOrEmpty(objective, "kind")),
                    SettingsFields.textOrEmpty(objective, "class"),
                    SettingsFields.numberOrZero(objective, "within_s"),
                    SettingsFields.numberOrZero(objective, "share"),
                    SettingsFields.numberOrZero(objective, "times")));
        }
        return List.copyOf(objectives);
    }

    /** Returns the kind of an objective by its name. A kind that this version doesn't know is accepted and has no effect. */
    private static SchedulerConfig.ObjectiveKind objectiveKind(String value) {
        return switch (value) {
            case "wait" -> SchedulerConfig.ObjectiveKind.START;
            case "finished" -> SchedulerConfig.ObjectiveKind.COMPLETION;
            case "deadline" -> SchedulerConfig.ObjectiveKind.DEADLINE;
            case "guarantee" -> SchedulerConfig.ObjectiveKind.GUARANTEE;
            default -> SchedulerConfig.ObjectiveKind.OTHER;
        };
    }
}
