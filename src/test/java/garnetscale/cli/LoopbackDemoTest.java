package garnetscale.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/**
 * Runs two complete controllers, a state service, a cloud and two workers over loopback sockets until one job is done and another
 * is cancelled.
 */
class LoopbackDemoTest {

    @Test
    void completesOneJobAndCancelsAnother() {
        assertEquals(0, new CommandLine(new LoopbackDemo()).execute("--seconds", "120"));
    }
}
