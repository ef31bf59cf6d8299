package garnetscale.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import garnetscale.core.bid.Bid;
import garnetscale.core.bid.BidSheet;
import garnetscale.core.block.Observation;
import garnetscale.core.job.TaskId;
import garnetscale.core.job.JobState;
import garnetscale.core.machine.Address;
import garnetscale.core.store.Records;
import garnetscale.core.machine.ExitCause;
import garnetscale.core.machine.ReportedTask;
import garnetscale.core.machine.TaskState;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What controllers say to each other comes out as it went in, and half of it doesn't come out at all. */
class PeerCodecTest {

    private static final List<PeerMessage> MESSAGES = List.of(
        new PeerMessage.Heartbeat("hive-0", 4, -1, 250, true),
        new PeerMessage.Over("wk-000412", new Records.Archived(JobState.DONE, 16, 16, "red")),
        new PeerMessage.Cancelled("wk-000412"),
        new PeerMessage.Book(List.of(new Address("m-000231", "10.1.0.232:9000", "a")), List.of("wk-000412"), List.of("wk-000413")),
        new PeerMessage.Seen(new Observation("hive-0", 4, "a/0", 1048577, "m-000231", "10.1.0.232:9000", "g8", "a", true,
            2, 17.5, false, List.of(new ReportedTask(new TaskId("wk-000412", 3), 16777217, TaskState.RUNNING, null, false),
                new ReportedTask(new TaskId("wk-000398", 0), 16777218, TaskState.EXITED, ExitCause.STOPPED, true)),
            List.of(16777219L))),
        new PeerMessage.Bids(new BidSheet("hive-0", 4, 431, Map.of("a/0", 1048577L),
            List.of(new Bid("m-000231", 2, "wk-000412", 3, 41.5)))));

    @Test
    void everyMessageComesOutAsItWentIn() throws IOException {
        PeerCodec codec = new PeerCodec();
        for (PeerMessage m : MESSAGES) {
            assertEquals(m, codec.decode(codec.encode(m)));
        }
    }

    @Test
    void aMessageCutShortIsRefused() {
        PeerCodec codec = new PeerCodec();
        for (PeerMessage m : MESSAGES) {
            byte[] whole = codec.encode(m);
            for (int cut = 0; cut < whole.length; cut++) {
                byte[] part = Arrays.copyOf(whole, cut);
                assertThrows(IOException.class, () -> codec.decode(part), m + " cut at " + cut);
            }
        }
    }
}
