package garnetscale.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import garnetscale.core.autoscaling.CloudCall;
import garnetscale.core.autoscaling.CloudInstance;
import garnetscale.core.job.TaskId;
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.MachineType;
import garnetscale.core.machine.TaskState;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.machine.WorkerCommand;
import garnetscale.core.machine.WorkerHeartbeat;
import garnetscale.core.state.KeyChange;
import garnetscale.core.state.Transaction;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Checks the codecs of workers, the cloud and the state service against the protocol's examples. */
class CodecExamplesTest {

    private static Map<String, Object> map(Object... pairs) {
        Map<String, Object> body = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            body.put((String) pairs[i], pairs[i + 1]);
        }
        return body;
    }

    private static Map<String, Object> heartbeatBody() {
        return map(
                "hive",
                "m-000231",
                "address",
                "10.1.0.232:9000",
                "breed",
                "g8",
                "field",
                "a",
                "windfall",
                true,
                "shift",
                1,
                "tick",
                88,
                "baton",
                41,
                "warning_s",
                null,
                "chores",
                List.of(
                        map("chore", "wk-000412/3", "try", 2, "mood", "running"),
                        map("chore", "wk-000398/0", "try", 1, "mood", "exited", "cause", "done")));
    }

    @Test
    void decodesHeartbeat() throws IOException {
        assertEquals(
                new WorkerHeartbeat(
                        "m-000231",
                        "10.1.0.232:9000",
                        "g8",
                        "a",
                        true,
                        1,
                        88,
                        41,
                        null,
                        List.of(
                                new TaskStatus(new TaskId("wk-000412", 3), 2, TaskState.RUNNING, null, false),
                                new TaskStatus(
                                        new TaskId("wk-000398", 0), 1, TaskState.EXITED, ExitCause.DONE, false))),
                WorkerCodec.heartbeat(Cbor.write(heartbeatBody())));
    }

    @Test
    void rejectsMalformedHeartbeats() {
        for (String field : List.of("hive", "shift", "tick", "chores")) {
            Map<String, Object> body = heartbeatBody();
            body.remove(field);
            assertThrows(IOException.class, () -> WorkerCodec.heartbeat(Cbor.write(body)), field);
        }
        Map<String, Object> body = heartbeatBody();
        body.put("chores", List.of(map("chore", "wk-1", "try", 1, "mood", "running")));
        assertThrows(IOException.class, () -> WorkerCodec.heartbeat(Cbor.write(body)));
    }

    @Test
    void heartbeatAnswers() throws IOException {
        byte[] body = WorkerCodec.answer(
                41,
                List.of(
                        new WorkerCommand.Start(new TaskId("wk-000412", 4), 2),
                        new WorkerCommand.Stop(new TaskId("wk-000377", 1), 1, 10),
                        new WorkerCommand.Clear(new TaskId("wk-000398", 0), 1)));
        assertEquals(
                map(
                        "baton",
                        41,
                        "orders",
                        List.of(
                                map("verb", "start", "chore", "wk-000412/4", "try", 2),
                                map("verb", "halt", "chore", "wk-000377/1", "try", 1, "mercy_s", 10.0),
                                map("verb", "clear", "chore", "wk-000398/0", "try", 1))),
                Cbor.readMap(body));
        assertEquals(map("steward", "hive-2"), Cbor.readMap(WorkerCodec.redirect("hive-2")));
        assertEquals(Map.of(), Cbor.readMap(WorkerCodec.redirect(null)));
    }

    @Test
    void cloudRequestsAndAnswers() throws IOException {
        assertEquals(
                List.of(new MachineType("g8", 96, 8, 768, 200, 1, 12, 4.5, 45, List.of("a", "b"))),
                CloudCodec.types(Cbor.write(map(
                        "breeds",
                        List.of(map(
                                "name",
                                "g8",
                                "cpus",
                                96,
                                "gpus",
                                8,
                                "ram_gb",
                                768,
                                "cache_gb",
                                200,
                                "fetch_gb_per_s",
                                1.0,
                                "rate",
                                12.0,
                                "market_price",
                                4.5,
                                "startup_s",
                                45,
                                "fields",
                                List.of("a", "b")))))));
        assertEquals(
                map("ask", "r-17", "breed", "g8", "field", "a", "windfall", true, "how_many", 12),
                Cbor.readMap(CloudCodec.scaleOut(new CloudCall.ScaleOut("r-17", "g8", "a", true, 12))));
        assertEquals(List.of("m-000231"), CloudCodec.newInstances(Cbor.write(map("hives", List.of("m-000231")))));
        CloudCodec.Page page = CloudCodec.page(Cbor.write(map(
                "hives",
                List.of(map(
                        "id",
                        "m-000231",
                        "address",
                        "10.1.0.232:9000",
                        "breed",
                        "g8",
                        "field",
                        "a",
                        "windfall",
                        true,
                        "mood",
                        "running",
                        "age_s",
                        61.5)),
                "has_next",
                false)));
        assertEquals(
                List.of(new CloudInstance(
                        "m-000231", "10.1.0.232:9000", "g8", "a", true, CloudInstance.State.RUNNING, 61.5)),
                page.machines());
    }

    @Test
    void stateServiceRequestsAndAnswers() throws IOException {
        Transaction transaction =
                new Transaction().guard("a/b", 0).put("a/b", Map.of("x", 1), 7).delete("c/d");
        assertEquals(
                map(
                        "guards",
                        List.of(map("key", "a/b", "stamp", 0)),
                        "then",
                        List.of(map("set", "a/b", "v", map("x", 1), "tenure", 7), map("remove", "c/d"))),
                Cbor.readMap(StateCodec.transaction(transaction)));
        StateCodec.Batch watched = StateCodec.changes(Cbor.write(map(
                "ledger",
                433,
                "log",
                List.of(map("set", "c/9", "v", map("x", 1), "stamp", 433), map("remove", "c/d", "stamp", 432)))));
        assertEquals(
                List.of(new KeyChange("c/9", Map.of("x", 1), 433), new KeyChange("c/d", null, 432)), watched.changes());
        assertEquals(433, watched.revision());
        StateCodec.Batch page = StateCodec.listing(Cbor.write(map(
                "pairs", List.of(map("key", "c/9", "v", map("x", 1), "stamp", 5)), "has_next", true, "ledger", 431)));
        assertEquals(List.of(new KeyChange("c/9", Map.of("x", 1), 5)), page.changes());
        assertEquals(true, page.more());
    }
}
