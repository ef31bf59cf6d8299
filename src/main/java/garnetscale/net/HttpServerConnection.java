package garnetscale.net;

import garnetscale.wire.UserCodec;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;

/** A connection to an {@link HttpServer}: reads its requests, and passes them to the handler one at a time, in order. */
final class HttpServerConnection extends ChannelInboundHandlerAdapter {

    private static final int MAX_BODY_BYTES = 64 * 1024;
    /** The most complete requests that may wait for the one being served. A further request closes the connection. */
    private static final int MAX_PIPELINED = 4;

    private static final long NANOS_PER_S = 1_000_000_000L;
    /** A connection is closed if no complete request arrives on it for this long. */
    private static final long IDLE_TIMEOUT_NANOS = 30 * NANOS_PER_S;
    /** A connection is closed if a request takes longer than this to arrive, even if its bytes arrive steadily. */
    private static final long ARRIVAL_TIMEOUT_NANOS = 10 * NANOS_PER_S;

    /** A request that has been received completely. */
    private record Request(String method, String path, boolean keepAlive, byte[] body) {}

    private final HttpServer.Handler handler;
    private final ConnectionLimiter limiter;
    /** The open connections of the server. */
    private final Set<HttpServerConnection> connections;

    private final BodyCollector body = new BodyCollector(MAX_BODY_BYTES);
    /** Complete requests that wait for the one being served. */
    private final Deque<Request> pipelined = new ArrayDeque<>();

    private ChannelHandlerContext context;
    /** The head of the request that is being received, or null. */
    private HttpRequest head;

    /** Whether a worker heartbeat has arrived on this connection. */
    private boolean fromWorker;
    /** Whether the limiter counts this connection. */
    private boolean counted;
    /** Whether a request is being served. */
    private boolean serving;
    /** Whether the connection will be closed after an answer; data that still arrives is dropped. */
    private boolean closing;
    /** The nano time at which the connection began to wait for a request. */
    private long waitingSince;
    /** The nano time at which an incomplete request began to arrive; 0 if there is none. */
    private long arrivingSince;

    /** Whether a request has been served since the last {@link #channelReadComplete}. */
    private boolean servedInThisRead;

    HttpServerConnection(HttpServer.Handler handler, ConnectionLimiter limiter, Set<HttpServerConnection> connections) {
        this.handler = handler;
        this.limiter = limiter;
        this.connections = connections;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        waitingSince = System.nanoTime();
        connections.add(this);
        counted = limiter.tryOpen();
        if (counted) {
            limiter.markIdleUser(ctx.channel());
        } else {
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        connections.remove(this);
        if (counted) {
            counted = false;
            limiter.onClosed(ctx.channel());
        }
        pipelined.clear();
    }

    /** Closes the connection if it has been idle for too long or a request is arriving too slowly; {@code now} is a nano time. */
    void closeIfStale(long now) {
        boolean idle = !serving && now - waitingSince > IDLE_TIMEOUT_NANOS;
        boolean slow = arrivingSince != 0 && now - arrivingSince > ARRIVAL_TIMEOUT_NANOS;
        if (idle || slow) {
            context.close();
        }
    }

    // ---- requests

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            read(ctx, (HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(ChannelHandlerContext ctx, HttpObject message) {
        if (closing) {
            return;
        }
        if (!message.decoderResult().isSuccess()) {
            reject(ctx, Reply.of(HttpStatus.BAD_REQUEST));
            return;
        }
        if (message instanceof HttpRequest request) {
            head = request;
            onHead(ctx, request);
        }
        if (message instanceof HttpContent content && head != null) {
            if (!body.add(content.content())) {
                reject(ctx, bodyTooLong());
            } else if (message instanceof LastHttpContent) {
                onComplete(ctx);
            }
        }
    }

    private void onHead(ChannelHandlerContext ctx, HttpRequest request) {
        if (HttpUtil.isContentLengthSet(request) && HttpUtil.getContentLength(request, 0L) > MAX_BODY_BYTES) {
            reject(ctx, bodyTooLong());
        } else if (HttpUtil.is100ContinueExpected(request)) {
            ctx.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void onComplete(ChannelHandlerContext ctx) {
        Request request = new Request(head.method().name(), head.uri(), HttpUtil.isKeepAlive(head), body.take());
        head = null;
        arrivingSince = 0;
        if (!serving) {
            serve(ctx, request);
        } else if (pipelined.size() < MAX_PIPELINED) {
            pipelined.add(request);
        } else {
            ctx.close();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        // Starts the arrival timeout if the read may have ended inside a request: inside its body if there is a
        // head, or inside its head if no request was served in this read.
        if (!serving && arrivingSince == 0 && (head != null || !servedInThisRead)) {
            arrivingSince = System.nanoTime();
        }
        servedInThisRead = false;
    }

    /**
     * Returns a reply with status 400. PROTOCOL counts a body that is too long as malformed, and such a request must not be
     * repeated.
     */
    private static Reply bodyTooLong() {
        return Reply.of(HttpStatus.BAD_REQUEST, UserCodec.error("body over 64 KiB"));
    }

    private void reject(ChannelHandlerContext ctx, Reply reply) {
        closing = true;
        head = null;
        ctx.writeAndFlush(response(reply, false)).addListener(ChannelFutureListener.CLOSE);
    }

    // ---- answers

    private void serve(ChannelHandlerContext ctx, Request request) {
        fromWorker |= request.path().equals(HttpServer.WORKER_HEARTBEAT_PATH);
        limiter.markInUse(ctx.channel());
        serving = true;
        servedInThisRead = true;
        handler.handle(request.method(), request.path(), request.body(), reply -> answer(ctx, request, reply));
    }

    private void answer(ChannelHandlerContext ctx, Request request, Reply reply) {
        if (!ctx.channel().isActive()) {
            return;
        }
        boolean keepAlive = request.keepAlive() && !(fromWorker && limiter.isScarce());
        ChannelFuture written = ctx.writeAndFlush(response(reply, keepAlive));
        serving = false;
        waitingSince = System.nanoTime();
        if (!keepAlive) {
            closing = true;
            written.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        if (!fromWorker) {
            limiter.markIdleUser(ctx.channel());
        }
        Request next = pipelined.poll();
        if (next != null) {
            serve(ctx, next);
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

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
