package garnetscale.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Sends requests over persistent connections, one request on a connection at a time. Lives on one event loop, like all
 * its callers. Every call ends by its timeout at the latest and calls back exactly once.
 */
public final class HttpClient {

    /** The part of the heap that one answer may take: decoded it is several times as large, beside what it replaces. */
    private static final int MAX_BODY_PART_OF_HEAP = 20;
    /** What an answer may take on any heap: twice the largest page of a listing. */
    private static final int MIN_MAX_BODY = 1 << 20;

    private final EventLoopGroup loop;
    private final int maxIdlePerHost;
    /** Counts the connections, or null where sockets are reserved for them. */
    private final ConnectionLimiter limiter;

    private final long connectTimeoutMs;
    /** Answers to watches have no size limit in the protocol; beyond this one the keys are listed anew, in pages. */
    private final int maxBody;

    private final Map<String, Deque<Channel>> idle = new HashMap<>();

    /** A client to few hosts, whose connections aren't counted. */
    public HttpClient(EventLoopGroup loop, int maxIdlePerHost, long connectTimeoutMs) {
        this(loop, maxIdlePerHost, null, connectTimeoutMs);
    }

    /** A client to many hosts: its connections are counted, and idle ones are closed for others. */
    public HttpClient(EventLoopGroup loop, int maxIdlePerHost, ConnectionLimiter limiter, long connectTimeoutMs) {
        this(
                loop,
                maxIdlePerHost,
                limiter,
                connectTimeoutMs,
                maxBody(Runtime.getRuntime().maxMemory()));
    }

    HttpClient(EventLoopGroup loop, int maxIdlePerHost, ConnectionLimiter limiter, long connectTimeoutMs, int maxBody) {
        this.loop = loop;
        this.limiter = limiter;
        this.maxIdlePerHost = maxIdlePerHost;
        this.connectTimeoutMs = connectTimeoutMs;
        this.maxBody = maxBody;
    }

    /** The longest answer in bytes that is taken on a heap of that size. */
    static int maxBody(long heapBytes) {
        return (int) Math.min(Integer.MAX_VALUE / 2, Math.max(MIN_MAX_BODY, heapBytes / MAX_BODY_PART_OF_HEAP));
    }

    /** An address such as {@code 10.0.0.1:8080}; numbers need no name look-up. */
    public static InetSocketAddress address(String hostPort) {
        int colon = hostPort.lastIndexOf(':');
        return new InetSocketAddress(hostPort.substring(0, colon), Integer.parseInt(hostPort.substring(colon + 1)));
    }

    /** Sends a request; {@code body} may be null. The callback runs on the event loop. */
    public void call(
            String host, HttpMethod method, String path, byte[] body, long timeoutMs, Consumer<HttpResult> callback) {
        HttpCall call = new HttpCall(host, request(host, method, path, body), callback);
        Channel ready = takeIdle(host);
        if (ready != null) {
            startTimeout(call, timeoutMs);
            send(call, ready);
        } else if (limiter != null && !limiter.tryOpen()) {
            callback.accept(HttpResult.NOT_SENT);
        } else {
            connect(call, timeoutMs);
        }
    }

    private static FullHttpRequest request(String host, HttpMethod method, String path, byte[] body) {
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
        return request;
    }

    private void startTimeout(HttpCall call, long timeoutMs) {
        call.startTimeout(loop.next().schedule(call, timeoutMs, TimeUnit.MILLISECONDS));
    }

    private void connect(HttpCall call, long timeoutMs) {
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(NioSocketChannel::new)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.min(connectTimeoutMs, timeoutMs))
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec(), new HttpClientHandler(HttpClient.this, maxBody));
                    }
                });
        startTimeout(call, timeoutMs);
        bootstrap.connect(address(call.host())).addListener((ChannelFutureListener)
                connected -> onConnected(call, connected));
    }

    private void onConnected(HttpCall call, ChannelFuture connected) {
        Channel channel = connected.channel();
        if (limiter != null) {
            if (connected.isSuccess()) {
                channel.closeFuture().addListener(closed -> limiter.onClosed(channel));
            } else {
                limiter.onClosed(null);
            }
        }
        if (!connected.isSuccess()) {
            call.end(HttpResult.NOT_SENT);
        } else if (call.ended()) {
            channel.close();
        } else {
            send(call, channel);
        }
    }

    private static void send(HttpCall call, Channel channel) {
        channel.pipeline().get(HttpClientHandler.class).expect(call);
        call.sendOn(channel);
    }

    // ---- idle connections

    private Channel takeIdle(String host) {
        Deque<Channel> channels = idle.get(host);
        while (channels != null && !channels.isEmpty()) {
            Channel channel = channels.pollLast();
            if (limiter != null) {
                limiter.markInUse(channel);
            }
            if (channel.isActive()) {
                return channel;
            }
        }
        return null;
    }

    /** Keeps a connection for the next call to the host, or closes it when there are enough. */
    void keepIdle(String host, Channel channel) {
        Deque<Channel> channels = idle.computeIfAbsent(host, key -> new ArrayDeque<>());
        if (channels.size() >= maxIdlePerHost) {
            channel.close();
            return;
        }
        channels.addLast(channel);
        if (limiter != null) {
            limiter.markIdleToWorker(channel);
        }
    }

    /** The connection is closed. */
    void forgetIdle(String host, Channel channel) {
        Deque<Channel> channels = idle.get(host);
        if (channels != null && channels.remove(channel) && channels.isEmpty()) {
            idle.remove(host);
        }
    }
}
