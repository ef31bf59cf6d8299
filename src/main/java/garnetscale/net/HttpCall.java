package garnetscale.net;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;

/** One request of an {@link HttpClient} until its result is known. It calls back exactly once. */
final class HttpCall implements Runnable {

    private final String host;
    private final FullHttpRequest request;
    private final Consumer<HttpResult> callback;
    /** Ends the call unless its result is known before; set before the request is written. */
    private ScheduledFuture<?> timeout;
    /** The connection that the request was written to, or null. */
    private Channel channel;

    private boolean ended;

    HttpCall(String host, FullHttpRequest request, Consumer<HttpResult> callback) {
        this.host = host;
        this.request = request;
        this.callback = callback;
    }

    String host() {
        return host;
    }

    boolean ended() {
        return ended;
    }

    void startTimeout(ScheduledFuture<?> scheduled) {
        timeout = scheduled;
    }

    void sendOn(Channel connection) {
        channel = connection;
        connection.writeAndFlush(request);
    }

    void end(HttpResult result) {
        if (!ended) {
            ended = true;
            timeout.cancel(false);
            callback.accept(result);
        }
    }

    /** The timeout: the connection is closed with it, since an answer that still came would be taken for the next one. */
    @Override
    public void run() {
        if (channel != null) {
            channel.close();
        }
        end(channel != null ? HttpResult.NO_ANSWER : HttpResult.NOT_SENT);
    }
}
