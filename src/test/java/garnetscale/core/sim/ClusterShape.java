package garnetscale.core.sim;

import garnetscale.core.Features;
import garnetscale.core.SchedulerConfig;
import garnetscale.core.TestConfig;
import garnetscale.core.balance.BalanceSettings;
import garnetscale.core.machine.MachineType;
import garnetscale.core.state.Layouts;
import garnetscale.core.upgrade.VersionRange;
import java.util.ArrayList;
import java.util.List;

/**
 * The size and settings of a simulated cluster. Controllers and workers are assigned to the zones in turn.
 *
 * @param nodes      number of controllers
 * @param workers    number of machines, each with one worker
 * @param valueBytes size of the largest value that the state service accepts, in bytes
 * @param types      machine types, assigned in turn to the machines of each zone
 * @param red        CPU limit of team red
 * @param blue       CPU limit of team blue
 */
record ClusterShape(
        int nodes,
        List<String> zones,
        int workers,
        int valueBytes,
        List<MachineType> types,
        List<SchedulerConfig.ServiceLevelObjective> objectives,
        double red,
        double blue,
        BalanceSettings balance) {

    private static final int VALUE_BYTES = 16 * 1024;

    static final ClusterShape SMALL = new ClusterShape(3, List.of("a", "b"), 6, VALUE_BYTES);
    static final ClusterShape THREE_ZONES = new ClusterShape(3, List.of("a", "b", "c"), 300, VALUE_BYTES);
    static final ClusterShape FIVE_NODES = new ClusterShape(5, List.of("a", "b"), 300, VALUE_BYTES);
    static final ClusterShape FOUR_THOUSAND = new ClusterShape(5, List.of("a", "b"), 4000, VALUE_BYTES);
    /** The limit for values is so low that the placements of a few dozen machines exceed a shard. */
    static final ClusterShape SMALL_VALUES = new ClusterShape(3, List.of("a", "b"), 160, 4 * 1024);

    ClusterShape(int nodes, List<String> zones, int workers, int valueBytes) {
        this(
                nodes,
                zones,
                workers,
                valueBytes,
                List.of(SimulatedCluster.TYPE),
                List.of(new SchedulerConfig.ServiceLevelObjective(SchedulerConfig.ObjectiveKind.START, "c", 2, 0.9, 0)),
                4.0 * workers,
                Math.floor(2.7 * workers),
                BalanceSettings.OFF);
    }

    /** Returns this shape with these machine types, team limits that are never reached, and no objectives. */
    ClusterShape withTypes(List<MachineType> machineTypes) {
        double limit = machineTypes.stream().mapToDouble(MachineType::cpus).sum() * workers;
        return new ClusterShape(nodes, zones, workers, valueBytes, machineTypes, List.of(), limit, limit, balance);
    }

    ClusterShape withBalance(BalanceSettings settings) {
        return new ClusterShape(nodes, zones, workers, valueBytes, types, objectives, red, blue, settings);
    }

    MachineType type(int machine) {
        return types.get(machine / zones.size() % types.size());
    }

    /** Returns the zone of the machine or controller with this number. */
    String zone(int number) {
        return zones.get(number % zones.size());
    }

    SchedulerConfig config(String self) {
        return config(self, Layouts.SUPPORTED);
    }

    /** Returns the settings of a controller that supports these layout versions. */
    SchedulerConfig config(String self, VersionRange layouts) {
        List<SchedulerConfig.ControllerAddress> controllers = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            controllers.add(new SchedulerConfig.ControllerAddress("n" + i, zone(i), ""));
        }
        return TestConfig.small()
                .self(self)
                .controllers(controllers)
                .zones(zones)
                .teams(
                        new SchedulerConfig.Team("red", 8, red(), 0, Double.POSITIVE_INFINITY),
                        new SchedulerConfig.Team("blue", 8, blue(), 0, Double.POSITIVE_INFINITY))
                .objectives(objectives.toArray(new SchedulerConfig.ServiceLevelObjective[0]))
                .workers(SimulatedCluster.HEARTBEAT_MS, SimulatedCluster.LEASE_MS, SimulatedCluster.CANCEL_MS)
                .valueBytes(valueBytes)
                .features(new Features(true, 0.5, layouts, Features.NEVER, balance))
                .build();
    }
}
