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

/** One connection to an {@link HttpServer}: collects its requests and has them answered one at a time, in order. */
final class HttpServerConnection extends ChannelInboundHandlerAdapter {

    private static final int MAX_BODY = 64 * 1024;
    /** Requests that may wait on a connection behind one that is not answered yet. */
    private static final int MAX_PIPELINED = 4;

    private static final long NANOS_PER_S = 1_000_000_000L;
    /** A connection that hasn't brought a whole request for so long is closed. */
    private static final long IDLE_TIMEOUT_NANOS = 30 * NANOS_PER_S;
    /** A request that takes longer than this to arrive is dropped with its connection, however steadily its bytes come. */
    private static final long ARRIVAL_TIMEOUT_NANOS = 10 * NANOS_PER_S;

    /** A whole request that waits for its turn. */
    private record Request(String method, String path, boolean keepAlive, byte[] body) {}

    private final HttpServer.Handler handler;
    private final ConnectionLimiter limiter;
    /** The open connections of the server. */
    private final Set<HttpServerConnection> connections;

    private final BodyCollector body = new BodyCollector(MAX_BODY);
    private final Deque<Request> pipelined = new ArrayDeque<>();
    private ChannelHandlerContext context;
    /** The request that is arriving, or null. */
    private HttpRequest head;

    /** Whether it has brought a worker's heartbeat. */
    private boolean fromWorker;
    /** Whether the limiter counts it. */
    private boolean counted;
    /** Whether a request is being served. */
    private boolean serving;
    /** Set once the connection is to be closed after an answer: what still comes is dropped. */
    private boolean closing;
    /** When the connection began to wait for a request. */
    private long waitingSince;
    /** When the first bytes of a request came that isn't whole yet, or 0. */
    private long arrivingSince;

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

    /** Closes the connection if it has been idle, or has brought a request too slowly; {@code now} is of the nano time. */
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
        if (HttpUtil.isContentLengthSet(request) && HttpUtil.getContentLength(request, 0L) > MAX_BODY) {
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
        // Bytes came, and no request is whole since: it may be that not even its head is.
        if (!serving && arrivingSince == 0 && (head != null || !servedInThisRead)) {
            arrivingSince = System.nanoTime();
        }
        servedInThisRead = false;
    }

    /** A body that is too long is malformed by PROTOCOL: 400, and not to be repeated. */
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
