package garnetscale.core.state;

import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.job.Priority;
import garnetscale.core.job.TaskId;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.Placement;
import garnetscale.core.partition.ControllerInfo;
import garnetscale.core.partition.LeaderInfo;
import garnetscale.core.partition.PartitionLease;
import garnetscale.core.upgrade.ClusterVersion;
import garnetscale.core.upgrade.VersionRange;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** How the values of the state service look: maps with short keys, since every byte of them is sent again and again. */
public final class Records {

    private static final Placement.Stop[] STOPS = Placement.Stop.values();

    private Records() {}

    public static Map<String, Object> job(JobRecord r) {
        JobSpec s = r.spec();
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("s", r.state().name());
        m.put("at", r.submittedMs());
        m.put("class", s.jobClass());
        m.put("team", s.team());
        m.put("pri", s.priority().name());
        m.put("n", s.tasks());
        m.put("cpus", s.cpus());
        m.put("gpus", s.gpus());
        m.put("mem", s.memoryGb());
        m.put("types", s.types());
        m.put("zone", s.zone());
        m.put("one", s.zoneAffinity());
        m.put("spread", s.zoneAntiAffinity());
        m.put("spot", s.spot());
        m.put("img", s.image());
        m.put("gb", s.imageGb());
        m.put("est", s.estimateS());
        m.put("ckpt", s.checkpointS());
        m.put("save", s.checkpointWriteS());
        m.put("due", s.deadlineS());
        m.values().removeIf(v -> v == null);
        return m;
    }

    public static JobRecord job(String id, Object value) {
        Map<?, ?> m = (Map<?, ?>) value;
        List<String> types = m.get("types") instanceof List<?> l
                ? l.stream().map(String::valueOf).toList()
                : null;
        JobSpec spec = new JobSpec(
                id,
                text(m, "class"),
                text(m, "team"),
                Priority.valueOf(text(m, "pri")),
                (int) whole(m, "n"),
                number(m, "cpus"),
                number(m, "gpus"),
                number(m, "mem"),
                types,
                text(m, "zone"),
                flag(m, "one"),
                flag(m, "spread"),
                flag(m, "spot"),
                text(m, "img"),
                number(m, "gb"),
                number(m, "est"),
                number(m, "ckpt"),
                number(m, "save"),
                m.get("due") instanceof Number n ? (Double) n.doubleValue() : null);
        return new JobRecord(spec, JobState.valueOf(text(m, "s")), whole(m, "at"));
    }

    /** What stays of a job that is over. */
    public record TerminalJob(JobState state, int tasks, int finished, String team) {}

    public static Map<String, Object> terminalJob(TerminalJob a) {
        return Map.of("s", a.state().name(), "n", a.tasks(), "f", a.finished(), "team", a.team());
    }

    public static TerminalJob terminalJob(Object value) {
        Map<?, ?> m = (Map<?, ?>) value;
        return new TerminalJob(
                JobState.valueOf(text(m, "s")), (int) whole(m, "n"), (int) whole(m, "f"), text(m, "team"));
    }

    /** A part of a finished set, as text since the protocol knows no binary. */
    static String bits(BitSet part) {
        return Base64.getEncoder().encodeToString(part.toByteArray());
    }

    static BitSet bits(String text) {
        return BitSet.valueOf(Base64.getDecoder().decode(text));
    }

    static Map<String, Object> machine(MachineRecord m) {
        return Map.of("z", m.zone(), "p", rows(m.placements()), "i", rows(m.images()));
    }

    static MachineRecord machine(Map<?, ?> value) {
        return new MachineRecord(
                text(value, "z"), placements((List<?>) value.get("p")), images((List<?>) value.get("i")));
    }

    /** An empty map where the record is removed; what hasn't changed is left out. */
    static Map<String, Object> delta(Delta d) {
        Map<String, Object> m = new LinkedHashMap<>();
        if (d.zone() != null) {
            m.put("z", d.zone());
        }
        if (!d.freed().isEmpty()) {
            m.put("-", List.copyOf(d.freed()));
        }
        if (!d.stops().isEmpty()) {
            List<Object> rows = new ArrayList<>();
            d.stops().forEach((attempt, stop) -> rows.add(List.of(attempt, stop.ordinal())));
            m.put("s", rows);
        }
        if (!d.placed().isEmpty()) {
            m.put("+", rows(d.placed()));
        }
        if (d.images() != null) {
            m.put("i", rows(d.images()));
        }
        return m;
    }

    static Delta delta(Map<?, ?> value) {
        Set<Long> freed = new HashSet<>();
        list(value, "-").forEach(o -> freed.add(((Number) o).longValue()));
        Map<Long, Placement.Stop> stops = new LinkedHashMap<>();
        list(value, "s")
                .forEach(o -> stops.put(
                        ((Number) ((List<?>) o).get(0)).longValue(),
                        STOPS[((Number) ((List<?>) o).get(1)).intValue()]));
        return new Delta(
                text(value, "z"),
                freed,
                stops,
                placements(list(value, "+")),
                value.get("i") instanceof List<?> l ? images(l) : null);
    }

    private static List<?> list(Map<?, ?> m, String key) {
        return m.get(key) instanceof List<?> l ? l : List.of();
    }

    private static List<Object> rows(List<Placement> placements) {
        List<Object> rows = new ArrayList<>(placements.size());
        for (Placement p : placements) {
            rows.add(List.of(
                    p.task().toString(), p.attempt(), p.agentEpoch(), p.stop().ordinal()));
        }
        return rows;
    }

    private static List<Object> rows(Map<String, Double> images) {
        List<Object> rows = new ArrayList<>(images.size());
        images.forEach((name, gb) -> rows.add(List.of(name, gb)));
        return rows;
    }

    private static List<Placement> placements(List<?> rows) {
        List<Placement> list = new ArrayList<>(rows.size());
        for (Object o : rows) {
            List<?> row = (List<?>) o;
            list.add(new Placement(
                    TaskId.parse((String) row.get(0)),
                    ((Number) row.get(1)).longValue(),
                    ((Number) row.get(2)).longValue(),
                    STOPS[((Number) row.get(3)).intValue()]));
        }
        return List.copyOf(list);
    }

    private static Map<String, Double> images(List<?> rows) {
        Map<String, Double> images = new LinkedHashMap<>();
        for (Object o : rows) {
            images.put((String) ((List<?>) o).get(0), num((List<?>) o, 1));
        }
        return images;
    }

    /** Bytes that a text takes as the protocol counts them, in JSON. */
    static int textSize(String s) {
        int bytes = 2;
        for (int i = 0; i < s.length(); i++) {
            char c = s.charAt(i);
            bytes += c < ' ' ? 6 : c == '"' || c == '\\' ? 2 : c < 0x80 ? 1 : 3;
        }
        return bytes;
    }

    public static Map<String, Object> partition(PartitionLease b) {
        return Map.of("h", b.owner(), "i", b.incarnation(), "t", b.term());
    }

    static PartitionLease partition(Object value) {
        Map<?, ?> m = (Map<?, ?>) value;
        return new PartitionLease(text(m, "h"), whole(m, "i"), whole(m, "t"));
    }

    public static Map<String, Object> node(ControllerInfo n) {
        return Map.of(
                "i",
                n.incarnation(),
                "z",
                n.zone(),
                "o",
                n.layouts().oldest(),
                "l",
                n.layouts().latest());
    }

    static ControllerInfo node(String name, Object value) {
        Map<?, ?> m = (Map<?, ?>) value;
        // A controller from before there were versions publishes none.
        VersionRange layouts =
                m.containsKey("l") ? new VersionRange((int) whole(m, "o"), (int) whole(m, "l")) : VersionRange.FIRST;
        return new ControllerInfo(name, whole(m, "i"), text(m, "z"), layouts);
    }

    public static Map<String, Object> leader(LeaderInfo l) {
        return Map.of("h", l.node(), "i", l.incarnation(), "t", l.term());
    }

    static LeaderInfo leader(Object value) {
        Map<?, ?> m = (Map<?, ?>) value;
        return new LeaderInfo(text(m, "h"), whole(m, "i"), whole(m, "t"));
    }

    public static Map<String, Object> version(ClusterVersion v) {
        return Map.of("v", v.active(), "f", v.floor());
    }

    static ClusterVersion version(Object value) {
        Map<?, ?> m = (Map<?, ?>) value;
        return new ClusterVersion((int) whole(m, "v"), (int) whole(m, "f"));
    }

    public static Map<String, Object> term(long term) {
        return Map.of("t", term);
    }

    static long term(Object value) {
        return whole((Map<?, ?>) value, "t");
    }

    public static Map<String, Object> types(List<MachineType> types) {
        List<Object> rows = new ArrayList<>();
        for (MachineType t : types) {
            rows.add(List.of(
                    t.name(),
                    t.cpus(),
                    t.gpus(),
                    t.memoryGb(),
                    t.cacheGb(),
                    t.fetchGbPerS(),
                    t.price(),
                    t.spotPrice(),
                    t.bootS(),
                    t.zones()));
        }
        return Map.of("types", rows);
    }

    static List<MachineType> types(Object value) {
        List<MachineType> list = new ArrayList<>();
        for (Object o : (List<?>) ((Map<?, ?>) value).get("types")) {
            List<?> r = (List<?>) o;
            list.add(new MachineType(
                    (String) r.get(0),
                    num(r, 1),
                    num(r, 2),
                    num(r, 3),
                    num(r, 4),
                    num(r, 5),
                    num(r, 6),
                    num(r, 7),
                    num(r, 8),
                    ((List<?>) r.get(9)).stream().map(String::valueOf).toList()));
        }
        return List.copyOf(list);
    }

    private static double num(List<?> row, int i) {
        return ((Number) row.get(i)).doubleValue();
    }

    private static String text(Map<?, ?> m, String key) {
        return (String) m.get(key);
    }

    private static long whole(Map<?, ?> m, String key) {
        return ((Number) m.get(key)).longValue();
    }

    private static double number(Map<?, ?> m, String key) {
        return ((Number) m.get(key)).doubleValue();
    }

    private static boolean flag(Map<?, ?> m, String key) {
        return Boolean.TRUE.equals(m.get(key));
    }
}
