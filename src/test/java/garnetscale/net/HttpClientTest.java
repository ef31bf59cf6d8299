package garnetscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the client with a server on loopback. */
class HttpClientTest {

    private static final int MAX_BODY_BYTES = 100_000;
    private static final long TIMEOUT_MS = 20_000;

    private final EventLoopGroup loop = new NioEventLoopGroup(1);
    private final HttpClient client = new HttpClient(loop, 1, null, 1000, MAX_BODY_BYTES);

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private HttpResult get(String host, String path) {
        CompletableFuture<HttpResult> result = new CompletableFuture<>();
        loop.next().execute(() -> client.call(host, HttpMethod.GET, path, null, TIMEOUT_MS, result::complete));
        return result.join();
    }

    @Test
    void anAnswerAboveTheSizeLimitEndsOnlyItsOwnCall() {
        ChannelFuture listening = new HttpServer(
                        loop,
                        new ConnectionLimiter(20),
                        16,
                        (method, path, body, answer) -> answer.accept(
                                Reply.of(200, new byte[path.equals("/long") ? MAX_BODY_BYTES + 1 : MAX_BODY_BYTES])))
                .listen("127.0.0.1:0")
                .awaitUninterruptibly();
        String host = "127.0.0.1:" + ((InetSocketAddress) listening.channel().localAddress()).getPort();
        assertEquals(MAX_BODY_BYTES, get(host, "/short").body().length);
        HttpResult tooLong = get(host, "/long");
        assertEquals(HttpResult.Outcome.TOO_LONG, tooLong.outcome());
        assertTrue(tooLong.mayHaveBeenApplied(), "the request was carried out");
        assertEquals(MAX_BODY_BYTES, get(host, "/short").body().length);
    }

    @Test
    void theSizeLimitOfAnswersRisesWithTheHeap() {
        assertEquals(4 << 20, HttpClient.maxBodyBytes(80L << 20));
        assertEquals(1 << 20, HttpClient.maxBodyBytes(8L << 20));
        assertTrue(HttpClient.maxBodyBytes(1L << 40) > 0);
    }
}
