package garnetscale.controller;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import garnetscale.core.SchedulerConfig;
import garnetscale.core.job.JobSpec;
import garnetscale.core.leader.Leader;
import garnetscale.core.machine.Placement;
import garnetscale.core.partition.ControllerInfo;
import garnetscale.core.partition.LeaderInfo;
import garnetscale.core.partition.PartitionLease;
import garnetscale.core.partition.PartitionMap;
import garnetscale.core.quota.QuotaUsage;
import garnetscale.core.state.JobView;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import garnetscale.core.upgrade.UpgradeDecision;
import garnetscale.core.upgrade.UpgradeStep;
import garnetscale.net.PeerLinks;
import garnetscale.peer.PeerMessage;
import garnetscale.peer.PeerMessage.OperatorResponse.Outcome;
import garnetscale.wire.Trees;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Answers operators from what this controller knows. It reads the replica and nothing else; only an upgrade step changes
 * anything, and that through the leader alone. Lives on the event loop.
 */
public final class ClusterInspector implements PeerLinks.Inspector {

    /** What the inspector asks of the process that it is in. */
    public record Sources(
            StateReplica replica,
            Leader leader,
            LongSupplier clock,
            Supplier<Map<String, Object>> process,
            Function<JobView, String> reason,
            Endings endings) {}

    /** Finds out how a job ended that the replica doesn't hold. */
    public interface Endings {
        void ended(String job, BiConsumer<Boolean, Records.TerminalJob> found);
    }

    private final SchedulerConfig config;
    private final PartitionMap partitions;
    private final Sources sources;
    private final StateReplica replica;

    public ClusterInspector(SchedulerConfig config, PartitionMap partitions, Sources sources) {
        this.config = config;
        this.partitions = partitions;
        this.sources = sources;
        this.replica = sources.replica();
    }

    @Override
    public void answer(PeerMessage.OperatorRequest inquiry, Consumer<PeerMessage.OperatorResponse> answer) {
        switch (inquiry.kind()) {
            case STATUS -> answer.accept(done(status()));
            case JOB -> job(inquiry.argument(), answer);
            case UPGRADE -> answer.accept(upgrade(inquiry.argument()));
            default -> answer.accept(refused("unknown inquiry " + inquiry.kind()));
        }
    }

    // ---- status

    private Map<String, Object> status() {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("node", config.self());
        status.put("complete", replica.loaded());
        if (replica.unreadable() != null) {
            status.put("unreadable", replica.unreadable());
        }
        status.putAll(sources.process().get());
        LeaderInfo leader = replica.leader();
        status.put("leader", leader == null ? "none" : leader.node());
        status.put("leader_term", leader == null ? 0 : leader.term());
        status.put("version", version());
        status.put("controllers", replica.nodes().stream().map(this::controller).toList());
        status.put("blocks", partitions.all().stream().map(this::partition).toList());
        status.put("machines_with_records", replica.placedMachines().size());
        status.put("teams", teams());
        if (config.features().balance().enabled() && sources.leader().leadingTerm() >= 0) {
            status.put(
                    "load",
                    LoadView.load(sources.leader().load(), sources.clock().getAsLong()));
        }
        return status;
    }

    private Map<String, Object> version() {
        Map<String, Object> version = new LinkedHashMap<>();
        version.put("active", replica.version().active());
        version.put("floor", replica.version().floor());
        version.put("converted", replica.isConverted());
        version.put("supported_here", config.features().layouts().toString());
        return version;
    }

    private Map<String, Object> controller(ControllerInfo node) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("node", node.name());
        row.put("zone", node.zone());
        row.put("incarnation", node.incarnation());
        row.put("versions", node.layouts().toString());
        return row;
    }

    private Map<String, Object> partition(String partition) {
        PartitionLease lease = replica.partition(partition);
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("block", partition);
        row.put("holder", lease == null ? "none" : lease.owner());
        row.put("term", lease == null ? 0 : lease.term());
        return row;
    }

    private List<Map<String, Object>> teams() {
        QuotaUsage quota = QuotaUsage.of(config, replica);
        List<Map<String, Object>> rows = new ArrayList<>();
        for (SchedulerConfig.Team team : config.teams().values()) {
            List<JobView> jobs = replica.jobs().stream()
                    .filter(job -> job.live() && job.spec().team().equals(team.name()))
                    .toList();
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("team", team.name());
            row.put("jobs", jobs.size());
            row.put("waiting", jobs.stream().mapToInt(JobView::unstarted).sum());
            row.put("placed", jobs.stream().mapToInt(JobView::placedCount).sum());
            row.put("cpus", quota.cpus(team.name()));
            row.put("cpus_guaranteed", team.cpus());
            row.put("cpus_max", limit(team.cpusMax()));
            row.put("gpus", quota.gpus(team.name()));
            row.put("gpus_max", limit(team.gpusMax()));
            rows.add(row);
        }
        return rows;
    }

    private static Object limit(double most) {
        return Double.isInfinite(most) ? "none" : (Object) most;
    }

    // ---- a job

    private void job(String id, Consumer<PeerMessage.OperatorResponse> answer) {
        if (!replica.loaded()) {
            answer.accept(refused("this controller's replica isn't complete"));
            return;
        }
        JobView job = replica.job(id);
        if (job != null) {
            answer.accept(done(job(job)));
            return;
        }
        sources.endings().ended(id, (sure, ending) -> {
            if (!sure) {
                answer.accept(refused("the state service can't be asked now"));
            } else if (ending == null) {
                answer.accept(refused("no job " + id));
            } else {
                answer.accept(done(ended(id, ending)));
            }
        });
    }

    private static Map<String, Object> ended(String id, Records.TerminalJob ending) {
        Map<String, Object> tree = new LinkedHashMap<>();
        tree.put("job", id);
        tree.put("state", ending.state().name());
        tree.put("team", ending.team());
        tree.put("tasks", ending.tasks());
        tree.put("finished", ending.finished());
        return tree;
    }

    private Map<String, Object> job(JobView job) {
        JobSpec spec = job.spec();
        Map<String, Object> tree = new LinkedHashMap<>();
        tree.put("job", spec.id());
        tree.put("state", job.job().state().name());
        tree.put("team", spec.team());
        tree.put("class", spec.jobClass());
        tree.put("tasks", spec.tasks());
        tree.put("finished", job.finishedCount());
        tree.put("placed", job.placedCount());
        tree.put("waiting", job.unstarted());
        String reason = sources.reason().apply(job);
        if (reason != null) {
            tree.put("why", reason);
        }
        tree.put("placements", placements(spec.id()));
        List<Map<String, Object>> moves = LoadView.moves(sources.leader().recentMoves(), spec.id());
        if (!moves.isEmpty()) {
            tree.put("moves", moves);
        }
        return tree;
    }

    private List<Map<String, Object>> placements(String job) {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (String machine : replica.placedMachines()) {
            for (Placement placement : replica.placements(machine)) {
                if (placement.task().job().equals(job)) {
                    Map<String, Object> row = new LinkedHashMap<>();
                    row.put("task", placement.task().index());
                    row.put("machine", machine);
                    row.put("zone", replica.placedZone(machine));
                    row.put("stop", stop(placement.stop()));
                    rows.add(row);
                }
            }
        }
        return rows;
    }

    /** The operators' word, which is older than the constant's name. */
    private static String stop(Placement.Stop stop) {
        return stop == Placement.Stop.CHECKPOINT ? "SAVE" : stop.name();
    }

    // ---- upgrade

    private PeerMessage.OperatorResponse upgrade(String name) {
        UpgradeStep step;
        try {
            step = UpgradeStep.valueOf(name);
        } catch (IllegalArgumentException e) {
            return refused("unknown step " + name);
        }
        if (!replica.loaded()) {
            return refused(
                    replica.unreadable() == null ? "this controller's replica isn't complete" : replica.unreadable());
        }
        LeaderInfo leader = replica.leader();
        if (leader == null || !leader.node().equals(config.self())) {
            return refused("this controller isn't the leader; " + (leader == null ? "there is none" : whereIs(leader)));
        }
        UpgradeDecision decision = sources.leader().upgrade(sources.clock().getAsLong(), step);
        if (decision instanceof UpgradeDecision.Refused no) {
            return refused(no.reason());
        }
        boolean isDone = decision instanceof UpgradeDecision.Done;
        return new PeerMessage.OperatorResponse(isDone ? Outcome.DONE : Outcome.UNDER_WAY, json(version()));
    }

    private String whereIs(LeaderInfo leader) {
        SchedulerConfig.ControllerAddress controller = config.controller(leader.node());
        return leader.node() + " is" + (controller == null ? "" : ", at " + controller.address());
    }

    private static PeerMessage.OperatorResponse done(Map<String, Object> tree) {
        return new PeerMessage.OperatorResponse(Outcome.DONE, json(tree));
    }

    private static PeerMessage.OperatorResponse refused(String reason) {
        return new PeerMessage.OperatorResponse(Outcome.REFUSED, json(Map.of("reason", reason)));
    }

    private static String json(Map<String, Object> tree) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = new JsonFactory().createGenerator(text)) {
            Trees.write(generator, tree);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return text.toString();
    }
}
