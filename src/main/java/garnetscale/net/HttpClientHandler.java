package garnetscale.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Collects one response at a time on a connection of an {@link HttpClient}, and ends the call that it answers. */
final class HttpClientHandler extends ChannelInboundHandlerAdapter {

    private static final Logger LOG = LoggerFactory.getLogger(HttpClientHandler.class);

    private final HttpClient client;
    private final int maxBody;
    private final BodyCollector body;
    private HttpCall call;
    private String host;
    /** The response that is arriving, or null. */
    private HttpResponse head;

    HttpClientHandler(HttpClient client, int maxBody) {
        this.client = client;
        this.maxBody = maxBody;
        this.body = new BodyCollector(maxBody);
    }

    /** The next response on this connection answers the call. */
    void expect(HttpCall next) {
        call = next;
        host = next.host();
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
        if (!message.decoderResult().isSuccess()) {
            ctx.close();
            return;
        }
        if (message instanceof HttpResponse response) {
            // What precedes the answer, such as 100, is skipped.
            head = response.status().codeClass() == HttpStatusClass.INFORMATIONAL ? null : response;
        }
        if (message instanceof HttpContent content && head != null) {
            if (!body.add(content.content())) {
                onTooLong(ctx);
            } else if (message instanceof LastHttpContent) {
                onComplete(ctx);
            }
        }
    }

    private void onTooLong(ChannelHandlerContext ctx) {
        LOG.info("answer too long, connection closed, host={} max_bytes={}", host, maxBody);
        HttpCall tooLong = call;
        call = null;
        head = null;
        body.take();
        ctx.close();
        if (tooLong != null) {
            tooLong.end(HttpResult.TOO_LONG);
        }
    }

    private void onComplete(ChannelHandlerContext ctx) {
        HttpCall answered = call;
        HttpResponse response = head;
        call = null;
        head = null;
        byte[] whole = body.take();
        if (answered == null) {
            ctx.close();
            return;
        }
        if (HttpUtil.isKeepAlive(response)) {
            client.keepIdle(answered.host(), ctx.channel());
        } else {
            ctx.close();
        }
        answered.end(HttpResult.answered(response.status().code(), whole));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        HttpCall lost = call;
        call = null;
        if (host != null) {
            client.forgetIdle(host, ctx.channel());
        }
        if (lost != null) {
            lost.end(HttpResult.NO_ANSWER);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.error("answer handling failed, connection closed, host={}", host, cause);
        }
        ctx.close();
    }
}
