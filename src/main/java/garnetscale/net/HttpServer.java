package garnetscale.net;

import garnetscale.wire.UserCodec;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Serves users, workers and health checks on one port. Connections start out as users' and become workers' with
 * their first report; {@link Sockets} sees to it that however many users come, workers, state and peers find one.
 */
public final class HttpServer {

    /** Answers a request by calling back once, at once or later, on the event loop. */
    public interface Handler {
        void handle(String method, String path, byte[] body, Consumer<Reply> answer);
    }

    private static final int MAX_BODY = 64 * 1024;
    /** A connection that hasn't brought a whole request for so long is shed. */
    private static final int IDLE_S = 30;
    /** A request that takes longer than this to arrive is shed, however steadily its bytes come. */
    private static final int ARRIVAL_S = 10;

    private final EventLoopGroup loop;
    private final Handler handler;
    private final Sockets sockets;
    private final int backlog;

    /** Up to {@code backlog} connections wait to be accepted: all workers may come at once. */
    public HttpServer(EventLoopGroup loop, Sockets sockets, int backlog, Handler handler) {
        this.loop = loop;
        this.handler = handler;
        this.sockets = sockets;
        this.backlog = backlog;
    }

    /** Starts to listen; the future fails when the address is in use. */
    public ChannelFuture listen(String hostPort) {
        return new ServerBootstrap().group(loop).channelFactory(NioServerSocketChannel::new)
            .option(ChannelOption.SO_BACKLOG, backlog)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel ch) {
                    ch.pipeline().addLast(new IdleStateHandler(IDLE_S, 0, 0, TimeUnit.SECONDS), new Pace(), new HttpServerCodec(),
                        new Aggregator(), new Connection());
                }
            }).bind(HttpClient.address(hostPort));
    }

    /** A body that is too long is malformed to the protocol: 400, and not retried. */
    private static final class Aggregator extends HttpObjectAggregator {

        Aggregator() {
            super(MAX_BODY, true);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            ctx.writeAndFlush(response(Reply.of(400, UserCodec.error("body over 64 KiB")), false))
                .addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Bounds the time from a request's first bytes to its last. Nearly all come in one piece, and need no timer. */
    private static final class Pace extends ChannelInboundHandlerAdapter {

        private ScheduledFuture<?> deadline;
        private boolean begun;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            begun = true;
            ctx.fireChannelRead(bytes);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (begun && deadline == null) {
                deadline = ctx.executor().schedule(() -> ctx.close(), ARRIVAL_S, TimeUnit.SECONDS);
            }
            ctx.fireChannelReadComplete();
        }

        /** The request is whole. */
        void arrived() {
            begun = false;
            if (deadline != null) {
                deadline.cancel(false);
                deadline = null;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            arrived();
            ctx.fireChannelInactive();
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {

        private boolean worker;
        private boolean counted;
        private boolean busy;
        private final Deque<FullHttpRequest> early = new ArrayDeque<>();

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            counted = sockets.enter();
            if (counted) {
                sockets.restUser(ctx.channel());
            } else {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (counted) {
                counted = false;
                sockets.leave(ctx.channel());
            }
            early.forEach(FullHttpRequest::release);
            early.clear();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            ctx.pipeline().get(Pace.class).arrived();
            if (!request.decoderResult().isSuccess()) {
                ctx.writeAndFlush(response(Reply.of(400), false)).addListener(ChannelFutureListener.CLOSE);
                return;
            }
            if (busy) {
                if (early.size() >= 4) {
                    ctx.close();
                } else {
                    early.add(request.retain());
                }
                return;
            }
            serve(ctx, request);
        }

        private void serve(ChannelHandlerContext ctx, FullHttpRequest request) {
            String path = request.uri();
            worker |= path.equals("/hello");
            sockets.wake(ctx.channel());
            busy = true;
            boolean keep = HttpUtil.isKeepAlive(request);
            byte[] body = ByteBufUtil.getBytes(request.content());
            handler.handle(request.method().name(), path, body, reply -> {
                if (!ctx.channel().isActive()) {
                    return;
                }
                ChannelFuture f = ctx.writeAndFlush(response(reply, keep));
                busy = false;
                if (!keep) {
                    f.addListener(ChannelFutureListener.CLOSE);
                    return;
                }
                if (!worker) {
                    sockets.restUser(ctx.channel());
                }
                FullHttpRequest next = early.poll();
                if (next != null) {
                    serve(ctx, next);
                    next.release();
                }
            });
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof IdleStateEvent && !busy) {
                ctx.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private static FullHttpResponse response(Reply reply, boolean keep) {
        FullHttpResponse r = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(reply.status()), Unpooled.wrappedBuffer(reply.body()));
        r.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
        if (reply.body().length > 0) {
            r.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/cbor");
        }
        if (reply.retryAfterS() > 0) {
            r.headers().set(HttpHeaderNames.RETRY_AFTER, reply.retryAfterS());
        }
        if (!keep) {
            r.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return r;
    }
}
