package garnetscale.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetscale.core.job.JobState;
import garnetscale.core.job.TaskId;
import garnetscale.core.machine.Placement;
import garnetscale.core.state.Keys;
import garnetscale.core.state.LogWriter;
import garnetscale.core.state.MachineRecord;
import garnetscale.core.state.Records;
import garnetscale.core.state.Transaction;
import garnetscale.core.upgrade.ClusterVersion;
import garnetscale.peer.PeerMessage;
import garnetscale.peer.PeerMessage.OperatorRequest.Kind;
import garnetscale.peer.PeerMessage.OperatorResponse.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The exact JSON that operators get: their scripts read its keys, and people rely on the order of the fields. */
class ClusterInspectorJsonTest {

    private final InspectedLeader cluster = new InspectedLeader();
    private final ClusterInspector inspector = new ClusterInspector(
            cluster.config,
            cluster.partitions,
            new ClusterInspector.Sources(
                    cluster.replica,
                    cluster.leader,
                    () -> 0,
                    () -> new ClusterInspector.ProcessView(true, 7, Map.of("reads", Map.of("per_s", 2.5))),
                    job -> job.unstartedCount() == 0 ? null : "waits",
                    (id, found) -> found.accept(
                            !id.equals("wk-9"),
                            id.equals("wk-0") ? new Records.TerminalJob(JobState.DONE, 4, 4, "red") : null)));

    private PeerMessage.OperatorResponse ask(Kind kind, String argument) {
        List<PeerMessage.OperatorResponse> answers = new ArrayList<>();
        inspector.answer(new PeerMessage.OperatorRequest(kind, argument), answers::add);
        assertEquals(1, answers.size());
        return answers.get(0);
    }

    @Test
    void status() {
        String partitionsJson = cluster.partitions.all().stream()
                .map(name -> "{\"block\":\"" + name
                        + (name.equals("a/0")
                                ? "\",\"holder\":\"n0\",\"term\":17}"
                                : "\",\"holder\":\"none\",\"term\":0}"))
                .reduce((all, next) -> all + "," + next)
                .orElseThrow();
        PeerMessage.OperatorResponse answer = ask(Kind.STATUS, "");
        assertEquals(Outcome.DONE, answer.outcome());
        assertEquals(
                "{\"node\":\"n0\",\"complete\":true,\"ready\":true,\"state_age_ms\":7,"
                        + "\"budgets\":{\"reads\":{\"per_s\":2.5}},\"leader\":\"n0\",\"leader_term\":3,"
                        + "\"version\":{\"active\":1,\"floor\":1,\"converted\":true,\"supported_here\":\"1 to 2\"},"
                        + "\"controllers\":[{\"node\":\"n0\",\"zone\":\"a\",\"incarnation\":" + cluster.lease
                        + ",\"versions\":\"1 to 2\"}],"
                        + "\"blocks\":[" + partitionsJson + "],\"machines_with_records\":0,"
                        + "\"teams\":[{\"team\":\"red\",\"jobs\":1,\"waiting\":5,\"placed\":0,\"cpus\":0.0,"
                        + "\"cpus_guaranteed\":8.0,\"cpus_max\":64.0,\"gpus\":0.0,\"gpus_max\":\"none\"}]}",
                answer.json());
    }

    @Test
    void unreadableState() {
        cluster.commit(new Transaction().put(Keys.VERSION, Records.version(new ClusterVersion(9, 1))));
        String json = ask(Kind.STATUS, "").json();
        String start = "{\"node\":\"n0\",\"complete\":false,\"unreadable\":\"" + cluster.replica.unreadable()
                + "\",\"ready\":true,\"state_age_ms\":7,";
        assertEquals(start, json.substring(0, start.length()));
    }

    @Test
    void liveJob() {
        assertEquals(
                "{\"job\":\"wk-1\",\"state\":\"LIVE\",\"team\":\"red\",\"class\":\"c\",\"tasks\":5,\"finished\":0,"
                        + "\"placed\":0,\"waiting\":5,\"why\":\"waits\",\"placements\":[]}",
                ask(Kind.JOB, "wk-1").json());
    }

    @Test
    void placementsOfAJob() {
        place("m-1", Placement.Stop.KEEP, 0);
        place("m-2", Placement.Stop.CHECKPOINT, 1);
        place("m-3", Placement.Stop.NOW, 2);
        String json = ask(Kind.JOB, "wk-1").json();
        assertEquals(
                "{\"job\":\"wk-1\",\"state\":\"LIVE\",\"team\":\"red\",\"class\":\"c\",\"tasks\":5,\"finished\":0,"
                        + "\"placed\":3,\"waiting\":2,\"why\":\"waits\",\"placements\":["
                        + "{\"task\":0,\"machine\":\"m-1\",\"zone\":\"a\",\"stop\":\"KEEP\"},"
                        + "{\"task\":1,\"machine\":\"m-2\",\"zone\":\"a\",\"stop\":\"SAVE\"},"
                        + "{\"task\":2,\"machine\":\"m-3\",\"zone\":\"a\",\"stop\":\"NOW\"}]}",
                json);
    }

    private void place(String machine, Placement.Stop stop, int task) {
        Placement placement = new Placement(new TaskId("wk-1", task), task + 1, 1, stop);
        Transaction transaction = new Transaction();
        new LogWriter(cluster.replica, cluster.config.maxValueBytes())
                .write(transaction, Map.of(machine, new MachineRecord("a", List.of(placement), Map.of())), Map.of());
        cluster.commit(transaction);
    }

    @Test
    void terminalAndUnknownJobs() {
        assertEquals(
                "{\"job\":\"wk-0\",\"state\":\"DONE\",\"team\":\"red\",\"tasks\":4,\"finished\":4}",
                ask(Kind.JOB, "wk-0").json());
        PeerMessage.OperatorResponse none = ask(Kind.JOB, "wk-2");
        assertEquals(Outcome.REFUSED, none.outcome());
        assertEquals("{\"reason\":\"no job wk-2\"}", none.json());
        assertEquals(
                "{\"reason\":\"the state service can't be asked now\"}",
                ask(Kind.JOB, "wk-9").json());
    }

    @Test
    void upgradeSteps() {
        assertEquals(
                "{\"reason\":\"unknown step sideways\"}",
                ask(Kind.UPGRADE, "sideways").json());
        PeerMessage.OperatorResponse answer = ask(Kind.UPGRADE, "DEACTIVATE");
        assertEquals(Outcome.DONE, answer.outcome());
        assertEquals("{\"active\":1,\"floor\":1,\"converted\":true,\"supported_here\":\"1 to 2\"}", answer.json());
    }
}
