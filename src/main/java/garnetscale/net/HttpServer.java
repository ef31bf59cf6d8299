package garnetscale.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An HTTP server for users, workers and health checks on one port. A connection counts as a user's until its first worker
 * heartbeat, and as a worker's from then on. {@link ConnectionLimiter} ensures that workers, the state service and peers get a
 * connection however many users connect. Confined to one event loop.
 *
 * <p>The pipeline consists of Netty's codec and one handler. Netty's handlers for aggregation, idle connections and timeouts
 * would do the same, but add three handlers to every read and a timer to every connection.
 */
public final class HttpServer {

    /** The path of worker heartbeats. A request for it marks its connection as a worker's. */
    public static final String WORKER_HEARTBEAT_PATH = "/hello";

    /** Handles requests. */
    public interface Handler {
        /**
         * Answers a request by calling {@code answer} once on the event loop, immediately or later.
         *
         * @param path the request target, including its query
         * @param body the body of the request; empty if it has none
         */
        void handle(String method, String path, byte[] body, Consumer<Reply> answer);
    }

    /** The interval between two checks for idle or slow connections. */
    private static final long SWEEP_INTERVAL_NANOS = 1_000_000_000L;

    private final EventLoopGroup loop;
    private final Handler handler;
    private final ConnectionLimiter limiter;
    private final int backlog;
    private final Set<HttpServerConnection> connections = new LinkedHashSet<>();
    /** The nano time of the last sweep. */
    private long sweptAt;

    /**
     * Creates a server.
     *
     * @param backlog the most connections that may wait to be accepted; all workers may connect at the same time
     */
    public HttpServer(EventLoopGroup loop, ConnectionLimiter limiter, int backlog, Handler handler) {
        this.loop = loop;
        this.handler = handler;
        this.limiter = limiter;
        this.backlog = backlog;
    }

    /** Starts to listen. The future fails if the address is in use. */
    public ChannelFuture listen(String hostPort) {
        sweptAt = System.nanoTime();
        loop.next()
                .scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL_NANOS, SWEEP_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
        return new ServerBootstrap()
                .group(loop)
                .channelFactory(NioServerSocketChannel::new)
                .option(ChannelOption.SO_BACKLOG, backlog)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(), new HttpServerConnection(handler, limiter, connections));
                    }
                })
                .bind(HttpClient.address(hostPort));
    }

    /** Closes the connections that have been idle for too long or deliver a request too slowly. */
    private void sweep() {
        long now = System.nanoTime();
        // Skips the first sweep after a stall of this process: data that arrived during the stall hasn't been read yet.
        boolean late = now - sweptAt > 2 * SWEEP_INTERVAL_NANOS;
        sweptAt = now;
        if (late) {
            return;
        }
        for (HttpServerConnection connection : List.copyOf(connections)) {
            connection.closeIfStale(now);
        }
    }
}
