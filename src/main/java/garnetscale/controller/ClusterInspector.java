package garnetscale.controller;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.cluster.LeaderInfo;
import garnetscale.core.cluster.PartitionLease;
import garnetscale.core.cluster.PartitionMap;
import garnetscale.core.job.JobSpec;
import garnetscale.core.leader.Leader;
import garnetscale.core.machine.Placement;
import garnetscale.core.quota.QuotaUsage;
import garnetscale.core.state.JobView;
import garnetscale.core.state.StateReplica;
import garnetscale.core.upgrade.UpgradeDecision;
import garnetscale.core.upgrade.UpgradeStep;
import garnetscale.net.PeerLinks;
import garnetscale.peer.PeerMessage;
import garnetscale.peer.PeerMessage.OperatorResponse.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Answers operators' requests from the replica and the roles of this controller. Requests only read the replica, except upgrade
 * steps, whose changes are made by the leader. Confined to the event loop.
 */
public final class ClusterInspector implements PeerLinks.OperatorRequestHandler {

    private static final String NOT_COMPLETE = "this controller's replica isn't complete";

    /**
     * The parts of its process that the inspector uses.
     *
     * @param clock         returns the milliseconds of the steady clock
     * @param process       returns the state of the process itself
     * @param waitingReason returns why tasks of a job wait, or null when none does
     */
    public record Sources(
            StateReplica replica,
            Leader leader,
            LongSupplier clock,
            Supplier<ProcessView> process,
            Function<JobView, String> waitingReason,
            TerminalJobs terminalJobs) {}

    /**
     * The state of the process that answers.
     *
     * @param ready      whether it takes requests
     * @param stateAgeMs age of its replica in milliseconds: it contains everything that was stored at least this long ago
     * @param rateLimits what it may send to the state service now and per second, by kind of request
     */
    public record ProcessView(boolean ready, long stateAgeMs, Map<String, Object> rateLimits) {}

    /** Looks up the terminal records of jobs that the replica doesn't contain. */
    public interface TerminalJobs {
        /** Looks up a job, and calls back exactly once on the event loop, immediately or later. */
        void lookUp(String job, TerminalJobCallback done);
    }

    private final SchedulerConfig config;
    private final PartitionMap partitions;
    private final Sources sources;
    private final StateReplica replica;

    /** Creates the inspector of one controller. */
    public ClusterInspector(SchedulerConfig config, PartitionMap partitions, Sources sources) {
        this.config = config;
        this.partitions = partitions;
        this.sources = sources;
        this.replica = sources.replica();
    }

    @Override
    public void answer(PeerMessage.OperatorRequest request, Consumer<PeerMessage.OperatorResponse> answer) {
        switch (request.kind()) {
            case STATUS -> answer.accept(done(OperatorJson.status(status())));
            case JOB -> job(request.argument(), answer);
            case UPGRADE -> answer.accept(upgrade(request.argument()));
            default -> answer.accept(refused("unknown inquiry " + request.kind()));
        }
    }

    // ---- status

    private StatusView status() {
        boolean showsLoad =
                config.features().balance().enabled() && sources.leader().leadingTerm() >= 0;
        return new StatusView(
                config.self(),
                replica.isLoaded(),
                replica.unreadable(),
                sources.process().get(),
                replica.leader(),
                version(),
                List.copyOf(replica.controllers()),
                partitions.all().stream().map(this::partition).toList(),
                replica.machinesWithRecords().size(),
                teams(),
                showsLoad ? LoadView.of(sources.leader().load(), sources.clock().getAsLong()) : null);
    }

    private StatusView.Version version() {
        return new StatusView.Version(
                replica.version().active(),
                replica.version().floor(),
                replica.isConverted(),
                config.features().layouts().toString());
    }

    private StatusView.Partition partition(String name) {
        PartitionLease lease = replica.partition(name);
        return lease == null
                ? new StatusView.Partition(name, null, 0)
                : new StatusView.Partition(name, lease.owner(), lease.term());
    }

    private List<StatusView.Team> teams() {
        QuotaUsage quota = QuotaUsage.of(config, replica);
        List<StatusView.Team> rows = new ArrayList<>();
        for (SchedulerConfig.Team team : config.teams().values()) {
            List<JobView> jobs = replica.jobs().stream()
                    .filter(job -> job.isLive() && job.spec().team().equals(team.name()))
                    .toList();
            rows.add(new StatusView.Team(
                    team.name(),
                    jobs.size(),
                    jobs.stream().mapToInt(JobView::unstartedCount).sum(),
                    jobs.stream().mapToInt(JobView::placedCount).sum(),
                    quota.cpus(team.name()),
                    team.cpus(),
                    team.cpusMax(),
                    quota.gpus(team.name()),
                    team.gpusMax()));
        }
        return rows;
    }

    // ---- a job

    private void job(String id, Consumer<PeerMessage.OperatorResponse> answer) {
        if (!replica.isLoaded()) {
            answer.accept(refused(NOT_COMPLETE));
            return;
        }
        JobView job = replica.job(id);
        if (job != null) {
            answer.accept(done(OperatorJson.job(details(job))));
            return;
        }
        sources.terminalJobs().lookUp(id, (known, terminalJob) -> {
            if (!known) {
                answer.accept(refused("the state service can't be asked now"));
            } else if (terminalJob == null) {
                answer.accept(refused("no job " + id));
            } else {
                answer.accept(done(OperatorJson.terminalJob(id, terminalJob)));
            }
        });
    }

    private JobDetails details(JobView job) {
        JobSpec spec = job.spec();
        return new JobDetails(
                spec.id(),
                job.job().state().name(),
                spec.team(),
                spec.jobClass(),
                spec.tasks(),
                job.finishedCount(),
                job.placedCount(),
                job.unstartedCount(),
                sources.waitingReason().apply(job),
                placements(spec.id()),
                JobDetails.MoveRow.ofJob(sources.leader().recentMoves(), spec.id()));
    }

    private List<JobDetails.PlacementRow> placements(String job) {
        List<JobDetails.PlacementRow> rows = new ArrayList<>();
        for (String machine : replica.machinesWithRecords()) {
            for (Placement placement : replica.placements(machine)) {
                if (placement.task().job().equals(job)) {
                    rows.add(new JobDetails.PlacementRow(
                            placement.task().index(), machine, replica.zoneOfMachine(machine), placement.stop()));
                }
            }
        }
        return rows;
    }

    // ---- upgrade

    private PeerMessage.OperatorResponse upgrade(String name) {
        UpgradeStep step;
        try {
            step = UpgradeStep.valueOf(name);
        } catch (IllegalArgumentException e) {
            return refused("unknown step " + name);
        }
        if (!replica.isLoaded()) {
            return refused(replica.unreadable() == null ? NOT_COMPLETE : replica.unreadable());
        }
        LeaderInfo leader = replica.leader();
        if (leader == null || !leader.node().equals(config.self())) {
            return refused("this controller isn't the leader; " + (leader == null ? "there is none" : whereIs(leader)));
        }
        UpgradeDecision decision = sources.leader().upgrade(sources.clock().getAsLong(), step);
        if (decision instanceof UpgradeDecision.Refused refusal) {
            return refused(refusal.reason());
        }
        Outcome outcome = decision instanceof UpgradeDecision.Done ? Outcome.DONE : Outcome.UNDER_WAY;
        return new PeerMessage.OperatorResponse(outcome, OperatorJson.version(version()));
    }

    private String whereIs(LeaderInfo leader) {
        SchedulerConfig.ControllerAddress controller = config.controller(leader.node());
        return leader.node() + " is" + (controller == null ? "" : ", at " + controller.address());
    }

    private static PeerMessage.OperatorResponse done(String json) {
        return new PeerMessage.OperatorResponse(Outcome.DONE, json);
    }

    private static PeerMessage.OperatorResponse refused(String reason) {
        return new PeerMessage.OperatorResponse(Outcome.REFUSED, OperatorJson.reason(reason));
    }
}
