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
 * Serves users, workers and health checks on one port. Connections start out as users' and become workers' with
 * their first heartbeat; {@link ConnectionLimiter} sees to it that however many users come, workers, state service and peers
 * find one. Lives on one event loop.
 *
 * <p>The pipeline is Netty's codec and one handler of ours. An aggregator, an idle handler and a timer for each
 * connection would do the same at the price of three more handlers for every read and a timer for every connection.
 */
public final class HttpServer {

    /** The path of workers' heartbeats; a connection that has brought one is a worker's. */
    public static final String WORKER_HEARTBEAT_PATH = "/hello";

    /** Serves requests. */
    public interface Handler {
        /** Answers a request by calling back once, at once or later, on the event loop. */
        void handle(String method, String path, byte[] body, Consumer<Reply> answer);
    }

    /** How often connections are checked for being idle or slow. */
    private static final long SWEEP_INTERVAL_NANOS = 1_000_000_000L;

    private final EventLoopGroup loop;
    private final Handler handler;
    private final ConnectionLimiter limiter;
    private final int backlog;
    private final Set<HttpServerConnection> connections = new LinkedHashSet<>();
    private long sweptAt;

    /** Up to {@code backlog} connections wait to be accepted: all workers may come at once. */
    public HttpServer(EventLoopGroup loop, ConnectionLimiter limiter, int backlog, Handler handler) {
        this.loop = loop;
        this.handler = handler;
        this.limiter = limiter;
        this.backlog = backlog;
    }

    /** Starts to listen; the future fails when the address is in use. */
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

    /** Closes the connections that are idle or bring a request too slowly. */
    private void sweep() {
        long now = System.nanoTime();
        // After a standstill of the process, what came meanwhile is still to be read.
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
