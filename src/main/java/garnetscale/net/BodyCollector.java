package garnetscale.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.util.Arrays;

/** Collects the pieces of one message body, nearly always a single one, up to a limit. Not thread-safe. */
final class BodyCollector {

    private static final byte[] EMPTY = new byte[0];

    private final int limit;
    private byte[] body = EMPTY;

    BodyCollector(int limit) {
        this.limit = limit;
    }

    /** Appends the readable bytes of a piece; false, with nothing appended, when the body would exceed the limit. */
    boolean add(ByteBuf piece) {
        int length = piece.readableBytes();
        if (length > limit - body.length) {
            return false;
        }
        if (length == 0) {
            return true;
        }
        if (body.length == 0) {
            body = ByteBufUtil.getBytes(piece);
        } else {
            int before = body.length;
            body = Arrays.copyOf(body, before + length);
            piece.getBytes(piece.readerIndex(), body, before, length);
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
