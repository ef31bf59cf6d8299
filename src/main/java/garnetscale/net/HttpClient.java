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
 * An HTTP client with persistent connections, each of which carries one request at a time. Every call ends by its timeout at the
 * latest and invokes its callback exactly once. Confined to one event loop, like all its callers.
 */
public final class HttpClient {

    /**
     * The size limit of an answer's body is the heap size divided by this. A decoded body takes several times its encoded size,
     * while the data that it replaces is still in memory.
     */
    private static final int HEAP_TO_BODY_RATIO = 20;
    /** The size limit of an answer's body on small heaps: twice the largest page of a listing. */
    private static final int MIN_BODY_LIMIT_BYTES = 1 << 20;

    private final EventLoopGroup loop;
    private final int maxIdlePerHost;
    /** Counts the connections; null if they use reserved sockets, which aren't counted. */
    private final ConnectionLimiter limiter;

    private final long connectTimeoutMs;
    /**
     * The size limit of an answer's body. The protocol sets none for answers to watches; after an answer above this limit, the
     * keys are listed again, in pages.
     */
    private final int maxBodyBytes;

    private final Map<String, Deque<Channel>> idle = new HashMap<>();

    /** Creates a client for a few hosts. Its connections use reserved sockets and aren't counted. */
    public HttpClient(EventLoopGroup loop, int maxIdlePerHost, long connectTimeoutMs) {
        this(loop, maxIdlePerHost, null, connectTimeoutMs);
    }

    /** Creates a client for many hosts. The limiter counts its connections, and closes idle ones to make room for others. */
    public HttpClient(EventLoopGroup loop, int maxIdlePerHost, ConnectionLimiter limiter, long connectTimeoutMs) {
        this(
                loop,
                maxIdlePerHost,
                limiter,
                connectTimeoutMs,
                maxBodyBytes(Runtime.getRuntime().maxMemory()));
    }

    HttpClient(
            EventLoopGroup loop,
            int maxIdlePerHost,
            ConnectionLimiter limiter,
            long connectTimeoutMs,
            int maxBodyBytes) {
        this.loop = loop;
        this.limiter = limiter;
        this.maxIdlePerHost = maxIdlePerHost;
        this.connectTimeoutMs = connectTimeoutMs;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Returns the size limit of an answer's body, in bytes, for a heap of the given size. */
    static int maxBodyBytes(long heapBytes) {
        return (int) Math.min(Integer.MAX_VALUE / 2, Math.max(MIN_BODY_LIMIT_BYTES, heapBytes / HEAP_TO_BODY_RATIO));
    }

    /** Parses an address such as {@code 10.0.0.1:8080}. A numeric host needs no name look-up. */
    public static InetSocketAddress address(String hostPort) {
        int colon = hostPort.lastIndexOf(':');
        return new InetSocketAddress(hostPort.substring(0, colon), Integer.parseInt(hostPort.substring(colon + 1)));
    }

    /**
     * Sends a request over an idle connection to the host, or over a new one. The callback runs on the event loop. If the limiter
     * allows no new connection, it runs before this method returns.
     *
     * @param host      the server's address, such as {@code 10.0.0.1:8080}
     * @param body      CBOR, or null for none
     * @param timeoutMs the time limit of the whole call, including the time to connect
     */
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
                                .addLast(new HttpClientCodec(), new HttpClientHandler(HttpClient.this, maxBodyBytes));
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

    /** Keeps a connection for the next call to the host, or closes it if enough idle ones are kept for that host. */
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

    /** Removes a closed connection from the idle ones. */
    void removeIdle(String host, Channel channel) {
        Deque<Channel> channels = idle.get(host);
        if (channels != null && channels.remove(channel) && channels.isEmpty()) {
            idle.remove(host);
        }
    }
}
