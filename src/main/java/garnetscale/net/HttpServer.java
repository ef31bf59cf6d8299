package garnetscale.net;

import garnetscale.wire.UserCodec;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Serves users, workers and health checks on one port. Connections start out as users' and become workers' with
 * their first report; {@link ConnectionLimiter} sees to it that however many users come, workers, state and peers find one.
 * Lives on one event loop.
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

    private static final int MAX_BODY = 64 * 1024;
    private static final long NANOS_PER_S = 1_000_000_000L;
    /** A connection that hasn't brought a whole request for so long is closed. */
    private static final long IDLE_NANOS = 30 * NANOS_PER_S;
    /** A request that takes longer than this to arrive is dropped with its connection, however steadily its bytes come. */
    private static final long ARRIVAL_NANOS = 10 * NANOS_PER_S;
    /** How often connections are looked over for these two. */
    private static final long SWEEP_NANOS = NANOS_PER_S;
    /** Requests that may wait on a connection behind one that is not answered yet. */
    private static final int MAX_PIPELINED = 4;

    private final EventLoopGroup loop;
    private final Handler handler;
    private final ConnectionLimiter sockets;
    private final int backlog;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private long sweptAt;

    /** Up to {@code backlog} connections wait to be accepted: all workers may come at once. */
    public HttpServer(EventLoopGroup loop, ConnectionLimiter sockets, int backlog, Handler handler) {
        this.loop = loop;
        this.handler = handler;
        this.sockets = sockets;
        this.backlog = backlog;
    }

    /** Starts to listen; the future fails when the address is in use. */
    public ChannelFuture listen(String hostPort) {
        sweptAt = System.nanoTime();
        loop.next().scheduleWithFixedDelay(this::sweep, SWEEP_NANOS, SWEEP_NANOS, TimeUnit.NANOSECONDS);
        return new ServerBootstrap()
                .group(loop)
                .channelFactory(NioServerSocketChannel::new)
                .option(ChannelOption.SO_BACKLOG, backlog)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), new Connection());
                    }
                })
                .bind(HttpClient.address(hostPort));
    }

    /** Closes the connections that are idle or bring a request too slowly. */
    private void sweep() {
        long now = System.nanoTime();
        // After a standstill of the process, what came meanwhile is still to be read.
        boolean late = now - sweptAt > 2 * SWEEP_NANOS;
        sweptAt = now;
        if (late) {
            return;
        }
        for (Connection connection : List.copyOf(connections)) {
            connection.closeIfStale(now);
        }
    }

    /** A whole request that waits for its turn. */
    private record Request(String method, String path, boolean keepAlive, byte[] body) {}

    /** One connection: collects its requests and has them answered one at a time, in order. */
    private final class Connection extends ChannelInboundHandlerAdapter {

        private final BodyCollector body = new BodyCollector(MAX_BODY);
        private final Deque<Request> pipelined = new ArrayDeque<>();
        private ChannelHandlerContext context;
        /** The request that is arriving, or null. */
        private HttpRequest head;

        private boolean worker;
        private boolean counted;
        private boolean busy;
        /** Set once the connection is to be closed after an answer: what still comes is dropped. */
        private boolean refused;
        /** When the connection began to wait for a request. */
        private long waitingSince;
        /** When the first bytes of a request came that isn't whole yet, or 0. */
        private long arrivingSince;

        private boolean servedInThisRead;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            context = ctx;
            waitingSince = System.nanoTime();
            connections.add(this);
            counted = sockets.enter();
            if (counted) {
                sockets.restUser(ctx.channel());
            } else {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            if (counted) {
                counted = false;
                sockets.leave(ctx.channel());
            }
            pipelined.clear();
        }

        void closeIfStale(long now) {
            boolean idle = !busy && now - waitingSince > IDLE_NANOS;
            boolean slow = arrivingSince != 0 && now - arrivingSince > ARRIVAL_NANOS;
            if (idle || slow) {
                context.close();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                read(ctx, (HttpObject) message);
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void read(ChannelHandlerContext ctx, HttpObject message) {
            if (refused) {
                return;
            }
            if (!message.decoderResult().isSuccess()) {
                refuse(ctx, Reply.of(400));
                return;
            }
            if (message instanceof HttpRequest request) {
                head = request;
                begin(ctx, request);
            }
            if (message instanceof HttpContent content && head != null) {
                if (!body.add(content.content())) {
                    refuse(ctx, bodyTooLong());
                } else if (message instanceof LastHttpContent) {
                    end(ctx);
                }
            }
        }

        private void begin(ChannelHandlerContext ctx, HttpRequest request) {
            if (HttpUtil.isContentLengthSet(request) && HttpUtil.getContentLength(request, 0L) > MAX_BODY) {
                refuse(ctx, bodyTooLong());
            } else if (HttpUtil.is100ContinueExpected(request)) {
                ctx.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }

        private void end(ChannelHandlerContext ctx) {
            Request request = new Request(head.method().name(), head.uri(), HttpUtil.isKeepAlive(head), body.take());
            head = null;
            arrivingSince = 0;
            if (!busy) {
                serve(ctx, request);
            } else if (pipelined.size() < MAX_PIPELINED) {
                pipelined.add(request);
            } else {
                ctx.close();
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            // Bytes came, and no request is whole since: it may be that not even its head is.
            if (!busy && arrivingSince == 0 && (head != null || !servedInThisRead)) {
                arrivingSince = System.nanoTime();
            }
            servedInThisRead = false;
        }

        /** A body that is too long is malformed to the protocol: 400, and not retried. */
        private Reply bodyTooLong() {
            return Reply.of(400, UserCodec.error("body over 64 KiB"));
        }

        private void refuse(ChannelHandlerContext ctx, Reply reply) {
            refused = true;
            head = null;
            ctx.writeAndFlush(response(reply, false)).addListener(ChannelFutureListener.CLOSE);
        }

        private void serve(ChannelHandlerContext ctx, Request request) {
            worker |= request.path().equals(WORKER_HEARTBEAT_PATH);
            sockets.wake(ctx.channel());
            busy = true;
            servedInThisRead = true;
            handler.handle(request.method(), request.path(), request.body(), reply -> answer(ctx, request, reply));
        }

        private void answer(ChannelHandlerContext ctx, Request request, Reply reply) {
            if (!ctx.channel().isActive()) {
                return;
            }
            boolean keepAlive = request.keepAlive() && !(worker && sockets.isScarce());
            ChannelFuture written = ctx.writeAndFlush(response(reply, keepAlive));
            busy = false;
            waitingSince = System.nanoTime();
            if (!keepAlive) {
                refused = true;
                written.addListener(ChannelFutureListener.CLOSE);
                return;
            }
            if (!worker) {
                sockets.restUser(ctx.channel());
            }
            Request next = pipelined.poll();
            if (next != null) {
                serve(ctx, next);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private static FullHttpResponse response(Reply reply, boolean keepAlive) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status()), Unpooled.wrappedBuffer(reply.body()));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
        if (reply.body().length > 0) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/cbor");
        }
        if (reply.retryAfterS() > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, reply.retryAfterS());
        }
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return response;
    }
}
