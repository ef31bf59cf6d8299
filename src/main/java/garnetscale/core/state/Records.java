package garnetscale.core.state;

import garnetscale.core.cluster.ControllerInfo;
import garnetscale.core.cluster.LeaderInfo;
import garnetscale.core.cluster.PartitionLease;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.job.Priority;
import garnetscale.core.machine.MachineType;
import garnetscale.core.upgrade.ClusterVersion;
import garnetscale.core.upgrade.VersionRange;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes and decodes the stored form of jobs and of the records in {@link ClusterState}: maps with short field names,
 * because every byte is sent to every controller. Decoding an invalid value throws a runtime exception, see
 * {@link StoredFields}.
 *
 * @see LogCodec the stored form of the work log
 */
public final class Records {

    private Records() {}

    /** Returns the stored value of a job; null fields are omitted. */
    public static Map<String, Object> job(JobRecord job) {
        JobSpec spec = job.spec();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("s", job.state().name());
        fields.put("at", job.submittedMs());
        fields.put("class", spec.jobClass());
        fields.put("team", spec.team());
        fields.put("pri", spec.priority().name());
        fields.put("n", spec.tasks());
        fields.put("cpus", spec.cpus());
        fields.put("gpus", spec.gpus());
        fields.put("mem", spec.memoryGb());
        fields.put("types", spec.types());
        fields.put("zone", spec.zone());
        fields.put("one", spec.zoneAffinity());
        fields.put("spread", spec.zoneAntiAffinity());
        fields.put("spot", spec.spot());
        fields.put("img", spec.image());
        fields.put("gb", spec.imageGb());
        fields.put("est", spec.estimateS());
        fields.put("ckpt", spec.checkpointS());
        fields.put("save", spec.checkpointWriteS());
        fields.put("due", spec.deadlineS());
        fields.values().removeIf(value -> value == null);
        return fields;
    }

    /** Decodes a job. */
    public static JobRecord job(String id, Object value) {
        Map<?, ?> fields = (Map<?, ?>) value;
        List<String> types = fields.get("types") instanceof List<?> list ? StoredFields.texts(list) : null;
        JobSpec spec = new JobSpec(
                id,
                StoredFields.text(fields, "class"),
                StoredFields.text(fields, "team"),
                Priority.valueOf(StoredFields.text(fields, "pri")),
                (int) StoredFields.whole(fields, "n"),
                StoredFields.number(fields, "cpus"),
                StoredFields.number(fields, "gpus"),
                StoredFields.number(fields, "mem"),
                types,
                StoredFields.text(fields, "zone"),
                StoredFields.flag(fields, "one"),
                StoredFields.flag(fields, "spread"),
                StoredFields.flag(fields, "spot"),
                StoredFields.text(fields, "img"),
                StoredFields.number(fields, "gb"),
                StoredFields.number(fields, "est"),
                StoredFields.number(fields, "ckpt"),
                StoredFields.number(fields, "save"),
                fields.get("due") instanceof Number deadlineS ? (Double) deadlineS.doubleValue() : null);
        return new JobRecord(spec, JobState.valueOf(StoredFields.text(fields, "s")), StoredFields.whole(fields, "at"));
    }

    /**
     * The record of a terminal job, which is kept permanently.
     *
     * @param state    its terminal state
     * @param tasks    its number of tasks
     * @param finished its number of finished tasks
     * @param team     the team that it belongs to
     */
    public record TerminalJob(JobState state, int tasks, int finished, String team) {}

    /** Returns the stored value of a terminal job. */
    public static Map<String, Object> terminalJob(TerminalJob terminal) {
        return Map.of(
                "s", terminal.state().name(), "n", terminal.tasks(), "f", terminal.finished(), "team", terminal.team());
    }

    /** Decodes a terminal job. */
    public static TerminalJob terminalJob(Object value) {
        Map<?, ?> fields = (Map<?, ?>) value;
        return new TerminalJob(
                JobState.valueOf(StoredFields.text(fields, "s")),
                (int) StoredFields.whole(fields, "n"),
                (int) StoredFields.whole(fields, "f"),
                StoredFields.text(fields, "team"));
    }

    /** Returns the stored value of a partition's lease. */
    public static Map<String, Object> partition(PartitionLease lease) {
        return Map.of("h", lease.owner(), "i", lease.incarnation(), "t", lease.term());
    }

    static PartitionLease partition(Object value) {
        Map<?, ?> fields = (Map<?, ?>) value;
        return new PartitionLease(
                StoredFields.text(fields, "h"), StoredFields.whole(fields, "i"), StoredFields.whole(fields, "t"));
    }

    /** Returns the stored value of a live controller; its name is in the key. */
    public static Map<String, Object> controller(ControllerInfo controller) {
        return Map.of(
                "i",
                controller.incarnation(),
                "z",
                controller.zone(),
                "o",
                controller.layouts().oldest(),
                "l",
                controller.layouts().latest());
    }

    static ControllerInfo controller(String name, Object value) {
        Map<?, ?> fields = (Map<?, ?>) value;
        // Controllers from before layout versions were introduced publish no range.
        VersionRange layouts = fields.containsKey("l")
                ? new VersionRange((int) StoredFields.whole(fields, "o"), (int) StoredFields.whole(fields, "l"))
                : VersionRange.FIRST;
        return new ControllerInfo(name, StoredFields.whole(fields, "i"), StoredFields.text(fields, "z"), layouts);
    }

    /** Returns the stored value of the leader. */
    public static Map<String, Object> leader(LeaderInfo leader) {
        return Map.of("h", leader.node(), "i", leader.incarnation(), "t", leader.term());
    }

    static LeaderInfo leader(Object value) {
        Map<?, ?> fields = (Map<?, ?>) value;
        return new LeaderInfo(
                StoredFields.text(fields, "h"), StoredFields.whole(fields, "i"), StoredFields.whole(fields, "t"));
    }

    /** Returns the stored value of the active version. */
    public static Map<String, Object> version(ClusterVersion version) {
        return Map.of("v", version.active(), "f", version.floor());
    }

    static ClusterVersion version(Object value) {
        Map<?, ?> fields = (Map<?, ?>) value;
        return new ClusterVersion((int) StoredFields.whole(fields, "v"), (int) StoredFields.whole(fields, "f"));
    }

    /** Returns the stored value of the term counter. */
    public static Map<String, Object> term(long term) {
        return Map.of("t", term);
    }

    static long term(Object value) {
        return StoredFields.whole((Map<?, ?>) value, "t");
    }

    /** Returns the stored value of the machine types. */
    public static Map<String, Object> types(List<MachineType> types) {
        List<Object> rows = new ArrayList<>();
        for (MachineType type : types) {
            rows.add(List.of(
                    type.name(),
                    type.cpus(),
                    type.gpus(),
                    type.memoryGb(),
                    type.cacheGb(),
                    type.fetchGbPerS(),
                    type.price(),
                    type.spotPrice(),
                    type.bootS(),
                    type.zones()));
        }
        return Map.of("types", rows);
    }

    static List<MachineType> types(Object value) {
        List<MachineType> types = new ArrayList<>();
        for (Object element : (List<?>) ((Map<?, ?>) value).get("types")) {
            List<?> row = (List<?>) element;
            types.add(new MachineType(
                    (String) row.get(0),
                    StoredFields.number(row, 1),
                    StoredFields.number(row, 2),
                    StoredFields.number(row, 3),
                    StoredFields.number(row, 4),
                    StoredFields.number(row, 5),
                    StoredFields.number(row, 6),
                    StoredFields.number(row, 7),
                    StoredFields.number(row, 8),
                    StoredFields.texts((List<?>) row.get(9))));
        }
        return List.copyOf(types);
    }
}
