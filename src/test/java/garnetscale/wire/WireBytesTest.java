package garnetscale.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetscale.ExpectedEncodings;
import garnetscale.core.autoscaling.CloudCall;
import garnetscale.core.job.TaskId;
import garnetscale.core.machine.TaskStatus;
import garnetscale.core.machine.WorkerCommand;
import garnetscale.core.state.Transaction;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Pins the encodings of the published protocol: the exact bytes where the order of keys is fixed, otherwise the decoded tree and
 * the number of bytes. {@link CodecExamplesTest} already checks the decoded trees of a heartbeat answer, a redirect, a scale-out
 * request and a transaction, and the decoding of heartbeats, machine types, instance lists, watch answers and listings;
 * {@link UserCodecTest} checks the decoding of submissions.
 */
class WireBytesTest {

    private static final ExpectedEncodings EXPECTED = new ExpectedEncodings("wire.txt");
    private static final List<String> STATES = List.of("fetching", "running", "saving", "exited", "other");
    private static final List<String> CAUSES = List.of("done", "halted", "error", "full", "in_use", "no_such", "other");
    private static final List<WorkerCommand> COMMANDS = List.of(
            new WorkerCommand.Start(new TaskId("wk-000412", 4), 16_777_217),
            new WorkerCommand.Stop(new TaskId("wk-000377", 1), 1, 10),
            new WorkerCommand.Clear(new TaskId("wk-000398", 0), 1));

    private static void checkDecoded(String name, byte[] body) throws IOException {
        EXPECTED.check(name, body.length + " bytes " + ExpectedEncodings.canonical(Cbor.read(body)));
    }

    @Test
    void answersToWorkers() throws IOException {
        checkDecoded("answer to a report", WorkerCodec.answer(1L << 40, COMMANDS));
        checkDecoded("answer without commands", WorkerCodec.answer(0, List.of()));
        checkDecoded("direct commands", WorkerCodec.commands(41, 3, COMMANDS));
        EXPECTED.check("redirect", WorkerCodec.redirect("n-2"));
        EXPECTED.check("redirect to nobody", WorkerCodec.redirect(null));
    }

    private static TaskStatus decodeTaskStatus(String state, String cause) throws IOException {
        Map<String, Object> task = Map.of("chore", "wk-1/0", "try", 1, "mood", state, "cause", cause, "saved", true);
        return WorkerCodec.heartbeat(Cbor.write(Map.of(
                        "hive",
                        "m-1",
                        "address",
                        "10.0.0.1:1",
                        "breed",
                        "g8",
                        "field",
                        "a",
                        "shift",
                        1,
                        "tick",
                        1,
                        "warning_s",
                        2.5,
                        "chores",
                        List.of(task))))
                .tasks()
                .get(0);
    }

    /** Pins the ordinals of states and causes, because peer messages encode them as ordinals. */
    @Test
    void taskStatesAndExitCauses() throws IOException {
        List<Object> states = new ArrayList<>();
        for (String state : STATES) {
            states.add(decodeTaskStatus(state, "done").state().ordinal());
        }
        EXPECTED.checkTree("reported states", states);
        List<Object> causes = new ArrayList<>();
        for (String cause : CAUSES) {
            causes.add(decodeTaskStatus("exited", cause).cause().ordinal());
        }
        EXPECTED.checkTree("reported causes", causes);
    }

    @Test
    void requestsToTheCloud() throws IOException {
        EXPECTED.check("rental", CloudCodec.scaleOut(new CloudCall.ScaleOut("r-17", "g8", "a", true, 12)));
        EXPECTED.check("deletion", CloudCodec.delete(new CloudCall.ScaleIn(List.of("m-1", "m-2"))));
        EXPECTED.check("first page", CloudCodec.pagePath(new CloudCall.ListInstances("")));
        EXPECTED.check("next page", CloudCodec.pagePath(new CloudCall.ListInstances("m-2")));
    }

    /** Pins the decoded instance states of the cloud's instance list, by their ordinals. */
    @Test
    void instanceStates() throws IOException {
        List<Object> states = new ArrayList<>();
        for (String state : List.of("failed", "running", "booting", "other")) {
            Map<String, Object> machine = Map.of("id", "m-1", "breed", "g8", "field", "a", "mood", state, "age_s", 1.5);
            CloudCodec.Page page = CloudCodec.page(Cbor.write(Map.of("hives", List.of(machine), "has_next", true)));
            states.add(page.machines().get(0).state().ordinal());
        }
        EXPECTED.checkTree("listed states", states);
    }

    @Test
    void requestsToTheStateService() throws IOException {
        Transaction transaction = new Transaction()
                .guard("g/term", 0)
                .guard("g/leader", 1L << 40)
                .put("g/term", Map.of("t", 3L))
                .put("g/leader", Map.of("h", "n-0"), 7)
                .delete("g/j/wk-1");
        checkDecoded("transaction", StateCodec.transaction(transaction));
        EXPECTED.checkTree("transaction before encoding", StateCodec.tree(transaction));
        checkDecoded("transaction that only guards", StateCodec.transaction(new Transaction().guard("g/term", 5)));
        EXPECTED.check("lease", StateCodec.leaseRequest(10_000));
    }

    @Test
    void answersOfTheStateService() throws IOException {
        assertEquals(433, StateCodec.revision(Cbor.write(Map.of("ledger", 433))));
        assertEquals(
                Set.of("g/a", "g/b"), StateCodec.failedGuards(Cbor.write(Map.of("failed", List.of("g/a", "g/b")))));
        assertEquals(7, StateCodec.grantedLease(Cbor.write(Map.of("tenure", 7))));
        assertEquals(Map.of("t", 3), StateCodec.value(Cbor.write(Map.of("v", Map.of("t", 3)))));
    }

    @Test
    void answersToUsers() {
        EXPECTED.check("answer", UserCodec.answer(new UserCodec.Answer("wk-1", "waiting", 2, 3, "red", "no room")));
        EXPECTED.check("answer minimal", UserCodec.answer(new UserCodec.Answer("wk-1", "done", 2, 0, null, null)));
        EXPECTED.check("error", UserCodec.error("id is missing"));
    }

    /** Pins the ordinals of the priorities: the protocol's ranks in order from the most to the least urgent. */
    @Test
    void ranks() throws IOException {
        Map<String, Object> job = new LinkedHashMap<>(
                Map.of("id", "wk-1", "herd", "train", "crew", "red", "shape", "array", "chores", 1, "seed", "img"));
        List.of("cpus", "gpus", "ram_gb", "image_gb", "guess_s", "pin_s", "stash_s")
                .forEach(key -> job.put(key, 1.0));
        List.of("same_place", "apart", "windfall").forEach(key -> job.put(key, false));
        List<Object> priorities = new ArrayList<>();
        for (String rank : List.of("critical", "high", "standard", "low")) {
            job.put("rank", rank);
            priorities.add(UserCodec.job(job).priority().ordinal());
        }
        EXPECTED.checkTree("ranks", priorities);
    }
}
