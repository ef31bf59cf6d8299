package garnetscale.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.util.Arrays;

/** Collects the chunks of one message body up to a size limit; nearly every body is a single chunk. Not thread-safe. */
final class BodyCollector {

    private static final byte[] EMPTY = new byte[0];

    private final int limitBytes;
    private byte[] body = EMPTY;

    BodyCollector(int limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Appends the readable bytes of a chunk. Returns false and appends nothing if the body would exceed the limit. */
    boolean add(ByteBuf chunk) {
        int length = chunk.readableBytes();
        if (length > limitBytes - body.length) {
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

    /** Returns the collected body and empties the collector. */
    byte[] take() {
        byte[] collected = body;
        body = EMPTY;
        return collected;
    }
}
