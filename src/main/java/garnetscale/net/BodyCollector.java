package garnetscale.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.util.Arrays;

/** Collects the chunks of one message body, nearly always a single one, up to a limit. Not thread-safe. */
final class BodyCollector {

    private static final byte[] EMPTY = new byte[0];

    private final int limit;
    private byte[] body = EMPTY;

    BodyCollector(int limit) {
        this.limit = limit;
    }

    /** Appends the readable bytes of a chunk; false, with nothing appended, when the body would exceed the limit. */
    boolean add(ByteBuf chunk) {
        int length = chunk.readableBytes();
        if (length > limit - body.length) {
            return false;
        }
        if (length == 0) {
            return true;
        }
        if (body.length == 0) {
            body = ByteBufUtil.getBytes(chunk);
        } else {
            int before = body.length;
            body = Arrays.copyOf(body, before + length);
            chunk.getBytes(chunk.readerIndex(), body, before, length);
        }
        return true;
    }

    /** The whole body; the collector is empty afterwards. */
    byte[] take() {
        byte[] whole = body;
        body = EMPTY;
        return whole;
    }
}
