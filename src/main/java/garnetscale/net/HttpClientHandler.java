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

/** Reads the answers on one connection of an {@link HttpClient}, one at a time, and ends the call that each belongs to. */
final class HttpClientHandler extends ChannelInboundHandlerAdapter {

    private static final Logger LOG = LoggerFactory.getLogger(HttpClientHandler.class);

    private final HttpClient client;
    private final int maxBodyBytes;
    private final BodyCollector body;
    /** The call that waits for its answer, or null. */
    private HttpCall call;

    private String host;
    /** The head of the answer that is being received, or null. */
    private HttpResponse head;

    HttpClientHandler(HttpClient client, int maxBodyBytes) {
        this.client = client;
        this.maxBodyBytes = maxBodyBytes;
        this.body = new BodyCollector(maxBodyBytes);
    }

    /** Makes the next answer on this connection end the call. */
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
            // Skips informational responses, such as 100 Continue, which precede the answer.
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
        LOG.info("answer too long, connection closed, host={} max_bytes={}", host, maxBodyBytes);
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
        byte[] answerBody = body.take();
        if (answered == null) {
            ctx.close();
            return;
        }
        if (HttpUtil.isKeepAlive(response)) {
            client.keepIdle(answered.host(), ctx.channel());
        } else {
            ctx.close();
        }
        answered.end(HttpResult.answered(response.status().code(), answerBody));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        HttpCall lost = call;
        call = null;
        if (host != null) {
            client.removeIdle(host, ctx.channel());
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
