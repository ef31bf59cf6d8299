package garnetscale.net;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;

/** A request of an {@link HttpClient} whose result is pending. Invokes its callback exactly once; {@link #run} is its timeout. */
final class HttpCall implements Runnable {

    private final String host;
    private final FullHttpRequest request;
    private final Consumer<HttpResult> callback;
    /** The scheduled timeout, cancelled when the call ends. Set before the request is written. */
    private ScheduledFuture<?> timeout;
    /** The connection that the request was written to; null if it hasn't been written. */
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

    /**
     * Ends the call because it timed out, and closes its connection: a late answer would otherwise be taken for the answer to the
     * next request.
     */
    @Override
    public void run() {
        if (channel != null) {
            channel.close();
        }
        end(channel != null ? HttpResult.NO_ANSWER : HttpResult.NOT_SENT);
    }
}
