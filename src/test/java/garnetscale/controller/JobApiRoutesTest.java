package garnetscale.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetscale.net.Reply;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The statuses that the job API answers by path and method alone, without a request to the state service. */
class JobApiRoutesTest {

    private final ScriptedCluster cluster = new ScriptedCluster(1);

    private Reply request(String method, String path) {
        List<Reply> replies = new ArrayList<>();
        cluster.controllers.get(0).jobApi.handle(method, path, new byte[0], replies::add);
        assertEquals(1, replies.size());
        return replies.get(0);
    }

    @ParameterizedTest
    @CsvSource({
        "GET, /v2/runs, 405",
        "GET, /v2/runs/, 405",
        "POST, /v2/runs, 400",
        "POST, /v2/runs/, 400",
        "GET, /v2/runs/nothing, 404",
        "GET, /v2/runs/cancel, 404",
        "POST, /v2/runs//cancel, 404",
        "POST, /v2/runs/wk-1/other, 404",
        "POST, /v2/runs/wk-1, 405",
        "DELETE, /v2/runs/wk-1, 405",
        "GET, /v2/runs/wk-1/cancel, 405"
    })
    void statusOf(String method, String path, int status) {
        assertEquals(status, request(method, path).status());
    }

    @Test
    void requestsBeforeTheReplicaIsLoadedAreAnswered503() {
        assertEquals(503, request("GET", "/v2/runs/wk-1").status());
        Reply cancellation = request("POST", "/v2/runs/wk-1/cancel");
        assertEquals(503, cancellation.status());
        assertEquals(1, cancellation.retryAfterS());
    }
}
