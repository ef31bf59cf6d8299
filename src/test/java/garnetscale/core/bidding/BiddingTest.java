package garnetscale.core.bidding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetscale.core.TestConfig;
import garnetscale.core.job.JobRecord;
import garnetscale.core.job.JobSpec;
import garnetscale.core.job.JobState;
import garnetscale.core.job.TestJob;
import garnetscale.core.machine.FreeCapacity;
import garnetscale.core.machine.MachineType;
import garnetscale.core.queue.PlacedZones;
import garnetscale.core.queue.ScarceTypeFilter;
import garnetscale.core.state.JobView;
import garnetscale.core.state.KeyChange;
import garnetscale.core.state.Keys;
import garnetscale.core.state.Records;
import garnetscale.core.state.StateReplica;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Bids of an owner's machines when more jobs wait than the machines have capacity for. */
class BiddingTest {

    private static final MachineType SMALL = new MachineType("small", 8, 0, 32, 50, 1, 1, 0.5, 40, List.of("a"));
    private static final MachineType LARGE = new MachineType("large", 32, 0, 128, 50, 1, 3, 1, 40, List.of("a"));

    private final StateReplica replica = new StateReplica();
    private final List<KeyChange> jobs = new ArrayList<>();
    private final List<Bidder> bidders = new ArrayList<>();

    private void addJob(String id, int tasks, double cpus, String type) {
        JobSpec spec = TestJob.named(id)
                .tasks(tasks)
                .cpus(cpus)
                .types(List.of(type))
                .imageGb(1)
                .estimateS(30)
                .build();
        jobs.add(new KeyChange(Keys.job(id), Records.job(new JobRecord(spec, JobState.LIVE, 0)), 1));
    }

    private void addMachines(int count, MachineType type) {
        for (int i = 0; i < count; i++) {
            bidders.add(new Bidder("m-" + type.name() + i, 1, type, "a", false, new FreeCapacity(type)));
        }
    }

    private List<Bid> bids(Set<String> quarantinedJobs) {
        replica.reset(jobs, 1);
        ScarceTypeFilter scarceTypes = new ScarceTypeFilter(TestConfig.small()
                .controllers(List.of())
                .workers(1000, 10_000, 40_000)
                .build());
        List<JobView> waiting = List.copyOf(replica.jobs());
        PlacedZones placedZones = new PlacedZones(replica, waiting);
        return new Bidding(replica, new Estimator(1000), scarceTypes, placedZones, 0, quarantinedJobs)
                .bids(waiting, bidders);
    }

    /**
     * Guards against a job that fits only large machines getting no bids: many jobs that filled the small machines ended the
     * batch before any large machine had bid.
     */
    @Test
    void largeMachinesBidForJobBehindManySmallJobs() {
        addMachines(10, SMALL);
        addMachines(1, LARGE);
        for (int i = 0; i < 12; i++) {
            addJob("wk-" + i, 200, 4, "small");
        }
        addJob("wk-99", 4, 16, "large");
        List<Bid> bids = bids(Set.of());
        assertEquals(
                List.of(new Bid("m-large0", 1, "wk-99", 2, 31)),
                bids.stream().filter(bid -> bid.job().equals("wk-99")).toList());
        double offered = bids.stream()
                .filter(bid -> !bid.job().equals("wk-99"))
                .mapToDouble(bid -> 4 * bid.slots())
                .sum();
        assertTrue(offered <= 3 * 80, offered + " CPUs offered of 80");
    }

    /**
     * Jobs that were submitted with a mistake are tried now and then until their users cancel them. They took the slots of all
     * machines, so that a job behind them got no bid for as long.
     */
    @Test
    @Tag("known-red")
    void machinesBidForJobBehindManyQuarantinedJobs() {
        addMachines(2, LARGE);
        Set<String> quarantined = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            addJob("wk-" + i, 4, 16, "large");
            quarantined.add("wk-" + i);
        }
        addJob("wk-99", 4, 16, "large");
        List<Bid> bids = bids(quarantined);
        assertEquals(
                4,
                bids.stream()
                        .filter(bid -> bid.job().equals("wk-99"))
                        .mapToInt(Bid::slots)
                        .sum());
        assertEquals(
                quarantined,
                bids.stream().map(Bid::job).filter(job -> !job.equals("wk-99")).collect(Collectors.toSet()),
                "they are tried, too");
    }
}
