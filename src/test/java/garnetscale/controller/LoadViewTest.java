package garnetscale.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetscale.core.balance.Demand;
import garnetscale.core.balance.LoadTracker;
import garnetscale.core.balance.MachineGroup;
import garnetscale.core.balance.MachineLoad;
import garnetscale.core.balance.Move;
import garnetscale.core.balance.UnknownReason;
import garnetscale.core.job.TaskId;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The load and the moves as operators are shown them. */
class LoadViewTest {

    private static final MachineGroup SMALL = new MachineGroup("a", "small");
    private static final MachineGroup LARGE = new MachineGroup("a", "large");

    @Test
    void groupsShowMachinesWithUnknownLoad() {
        LoadTracker tracker = new LoadTracker(1000);
        tracker.update(0, "m-1", new MachineLoad(SMALL, null, true, 8000, Map.of("red", 2500L, "blue", 1500L)));
        tracker.update(0, "m-2", new MachineLoad(LARGE, UnknownReason.OWNER_SILENT, false, 16_000, Map.of()));
        LoadView load = LoadView.of(
                tracker.snapshot(500, Demand.NONE.plus("red", 120.4, 7).plusWaiting(SMALL, 120.4)), 800);
        assertEquals(
                "{\"age_ms\":300,\"peak_to_mean\":1.0,\"groups\":["
                        + "{\"group\":\"a/large\",\"machines\":1,\"serving\":0,\"known\":false,"
                        + "\"unknown\":\"1 HOLDER_UNHEARD\",\"cpus\":0.0,\"used\":0.0,\"utilization\":1.0,"
                        + "\"waiting_cpu_s\":0,\"teams\":\"none\"},"
                        + "{\"group\":\"a/small\",\"machines\":1,\"serving\":1,\"known\":true,"
                        + "\"unknown\":\"none\",\"cpus\":8.0,\"used\":4.0,\"utilization\":0.5,"
                        + "\"waiting_cpu_s\":120,\"teams\":\"blue 1.5, red 2.5\"}],"
                        + "\"demand\":[{\"team\":\"red\",\"waiting_cpu_s\":120,\"placed_cpu_s\":7}]}",
                OperatorJson.load(load));
    }

    @Test
    void aJobShowsItsOwnMoves() {
        List<Move> moves = List.of(move("wk-1", "wk-9"), move("wk-2", null));
        assertEquals(
                "{\"job\":\"wk-1\",\"state\":\"LIVE\",\"team\":\"red\",\"class\":\"c\",\"tasks\":5,\"finished\":0,"
                        + "\"placed\":0,\"waiting\":5,\"placements\":[],\"moves\":["
                        + "{\"task\":3,\"from\":\"m-1 (a/large)\",\"to\":\"a/small\",\"for\":\"wk-9\","
                        + "\"gain_cpu_s\":100,\"disruption_cpu_s\":10}]}",
                OperatorJson.job(new JobDetails(
                        "wk-1",
                        "LIVE",
                        "red",
                        "c",
                        5,
                        0,
                        0,
                        5,
                        null,
                        List.of(),
                        JobDetails.MoveRow.ofJob(moves, "wk-1"))));
        assertEquals("itself", JobDetails.MoveRow.ofJob(moves, "wk-2").get(0).beneficiary());
    }

    private static Move move(String job, String beneficiary) {
        return new Move(new TaskId(job, 3), 1, "red", 1, "m-1", LARGE, SMALL, beneficiary, 100, 10, 5000);
    }
}
