package garnetscale.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests over persistent connections, one request on a connection at a time. Lives on one event loop, like all
 * its callers. Every call ends by its timeout at the latest and calls back exactly once.
 */
public final class HttpClient {

    private static final Logger LOG = LoggerFactory.getLogger(HttpClient.class);
    /** The part of the heap that one answer may take: decoded it is several times as large, beside what it replaces. */
    private static final int ANSWER_IN_HEAP = 20;
    /** What an answer may take on any heap: twice the largest page of a listing. */
    private static final int LEAST_MAX_BODY = 1 << 20;

    private final EventLoopGroup loop;
    private final int idlePerHost;
    /** Where the connections are counted, or null for those that are set aside for. */
    private final ConnectionLimiter sockets;

    private final long connectMs;
    /** Answers to watches have no size limit in the protocol; beyond this one the store is listed anew, in pages. */
    private final int maxBody;

    private final Map<String, Deque<Channel>> idle = new HashMap<>();

    public HttpClient(EventLoopGroup loop, int idlePerHost, long connectMs) {
        this(loop, idlePerHost, null, connectMs);
    }

    /** To many hosts: its connections are counted, and those at rest are closed for others. */
    public HttpClient(EventLoopGroup loop, int idlePerHost, ConnectionLimiter sockets, long connectMs) {
        this(loop, idlePerHost, sockets, connectMs, maxBody(Runtime.getRuntime().maxMemory()));
    }

    HttpClient(EventLoopGroup loop, int idlePerHost, ConnectionLimiter sockets, long connectMs, int maxBody) {
        this.loop = loop;
        this.sockets = sockets;
        this.idlePerHost = idlePerHost;
        this.connectMs = connectMs;
        this.maxBody = maxBody;
    }

    /** The longest answer that is taken on a heap of that size. */
    static int maxBody(long heapBytes) {
        return (int) Math.min(Integer.MAX_VALUE / 2, Math.max(LEAST_MAX_BODY, heapBytes / ANSWER_IN_HEAP));
    }

    private static final class Call {
        final String host;
        final FullHttpRequest request;
        final Consumer<HttpResult> callback;
        ScheduledFuture<?> timer;
        boolean sent;
        boolean over;

        Call(String host, FullHttpRequest request, Consumer<HttpResult> callback) {
            this.host = host;
            this.request = request;
            this.callback = callback;
        }

        void end(HttpResult result) {
            if (!over) {
                over = true;
                timer.cancel(false);
                callback.accept(result);
            }
        }
    }

    /** Sends a request; {@code body} may be null. The callback runs on the event loop. */
    public void call(
            String host, HttpMethod method, String path, byte[] body, long timeoutMs, Consumer<HttpResult> callback) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method,
                path,
                body == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, host);
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body == null ? 0 : body.length);
        if (body != null) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/cbor");
        }
        Call call = new Call(host, request, callback);
        Channel ready = takeIdle(host);
        if (ready != null) {
            arm(call, ready, timeoutMs);
            send(call, ready);
            return;
        }
        if (sockets != null && !sockets.enter()) {
            callback.accept(HttpResult.NOT_SENT);
            return;
        }
        Bootstrap b = new Bootstrap()
                .group(loop)
                .channelFactory(NioSocketChannel::new)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.min(connectMs, timeoutMs))
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline().addLast(new HttpClientCodec(), new Handler());
                    }
                });
        Channel[] made = new Channel[1];
        call.timer = loop.next()
                .schedule(
                        () -> {
                            if (made[0] != null) {
                                made[0].close();
                            }
                            call.end(call.sent ? HttpResult.NO_ANSWER : HttpResult.NOT_SENT);
                        },
                        timeoutMs,
                        TimeUnit.MILLISECONDS);
        b.connect(address(host)).addListener((ChannelFutureListener) f -> {
            if (sockets != null) {
                if (f.isSuccess()) {
                    f.channel().closeFuture().addListener(closed -> sockets.leave(f.channel()));
                } else {
                    sockets.leave(null);
                }
            }
            if (!f.isSuccess()) {
                call.end(HttpResult.NOT_SENT);
            } else if (call.over) {
                f.channel().close();
            } else {
                made[0] = f.channel();
                send(call, f.channel());
            }
        });
    }

    private void arm(Call call, Channel channel, long timeoutMs) {
        call.timer = loop.next()
                .schedule(
                        () -> {
                            channel.close();
                            call.end(HttpResult.NO_ANSWER);
                        },
                        timeoutMs,
                        TimeUnit.MILLISECONDS);
    }

    private Channel takeIdle(String host) {
        Deque<Channel> free = idle.get(host);
        while (free != null && !free.isEmpty()) {
            Channel c = free.pollLast();
            if (sockets != null) {
                sockets.wake(c);
            }
            if (c.isActive()) {
                return c;
            }
        }
        return null;
    }

    private void send(Call call, Channel channel) {
        call.sent = true;
        Handler handler = channel.pipeline().get(Handler.class);
        handler.call = call;
        handler.host = call.host;
        channel.writeAndFlush(call.request);
    }

    /** EventLoopProfile "10.0.0.1:8080" into an address, with no name look-up for numbers. */
    public static InetSocketAddress address(String hostPort) {
        int colon = hostPort.lastIndexOf(':');
        return new InetSocketAddress(hostPort.substring(0, colon), Integer.parseInt(hostPort.substring(colon + 1)));
    }

    /** Collects one response at a time and ends the call that it answers. */
    private final class Handler extends ChannelInboundHandlerAdapter {

        private final BodyCollector body = new BodyCollector(maxBody);
        private Call call;
        private String host;
        /** The response that is arriving, or null. */
        private HttpResponse head;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                read(ctx, (HttpObject) message);
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void read(ChannelHandlerContext ctx, HttpObject message) {
            if (!message.decoderResult().isSuccess()) {
                ctx.close();
                return;
            }
            if (message instanceof HttpResponse response) {
                // What precedes the answer, such as 100, has no say.
                head = response.status().codeClass() == HttpStatusClass.INFORMATIONAL ? null : response;
            }
            if (message instanceof HttpContent content && head != null) {
                if (!body.add(content.content())) {
                    LOG.info("an answer of {} is longer than {} bytes", host, maxBody);
                    Call tooLong = call;
                    call = null;
                    head = null;
                    body.take();
                    ctx.close();
                    if (tooLong != null) {
                        tooLong.end(HttpResult.TOO_LONG);
                    }
                } else if (message instanceof LastHttpContent) {
                    end(ctx);
                }
            }
        }

        private void end(ChannelHandlerContext ctx) {
            Call done = call;
            HttpResponse response = head;
            call = null;
            head = null;
            byte[] whole = body.take();
            if (done == null) {
                ctx.close();
                return;
            }
            if (HttpUtil.isKeepAlive(response)) {
                keep(done.host, ctx.channel());
            } else {
                ctx.close();
            }
            done.end(HttpResult.answered(response.status().code(), whole));
        }

        private void keep(String host, Channel channel) {
            Deque<Channel> free = idle.computeIfAbsent(host, k -> new ArrayDeque<>());
            if (free.size() >= idlePerHost) {
                channel.close();
                return;
            }
            free.addLast(channel);
            if (sockets != null) {
                sockets.restIdle(channel);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            Call lost = call;
            call = null;
            Deque<Channel> free = host == null ? null : idle.get(host);
            if (free != null && free.remove(ctx.channel()) && free.isEmpty()) {
                idle.remove(host);
            }
            if (lost != null) {
                lost.end(HttpResult.NO_ANSWER);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.error("an answer of {} could not be worked on", host, cause);
            }
            ctx.close();
        }
    }
}
