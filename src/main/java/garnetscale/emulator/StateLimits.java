package garnetscale.emulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.google.common.io.ByteStreams;
import com.google.common.io.CountingOutputStream;
import garnetscale.core.state.Transaction;
import garnetscale.wire.StateCodec;
import garnetscale.wire.Trees;
import java.io.IOException;

/**
 * The state service's limits on one transaction; sizes are counted in JSON, as the protocol does.
 *
 * @param changes puts and deletes; there may be four times as many conditions
 */
public record StateLimits(int valueBytes, int changes, int transactionBytes) {

    /** No limits. */
    public static final StateLimits NONE = new StateLimits(Integer.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE);

    private static final int CONDITIONS = 4;
    private static final JsonFactory JSON = new JsonFactory();

    /** The limit that a transaction exceeds, or null. */
    String violationBy(Transaction transaction) {
        if (equals(NONE)) {
            return null;
        }
        if (transaction.ops().size() > changes) {
            return transaction.ops().size() + " changes";
        }
        if (transaction.guards().size() > (long) CONDITIONS * changes) {
            return transaction.guards().size() + " conditions";
        }
        for (Transaction.Op operation : transaction.ops()) {
            long bytes = operation.value() == null ? 0 : jsonBytes(operation.value());
            if (bytes > valueBytes) {
                return "value of " + bytes + " bytes under " + operation.key();
            }
        }
        long bytes = jsonBytes(StateCodec.tree(transaction));
        return bytes > transactionBytes ? "transaction of " + bytes + " bytes" : null;
    }

    /** Bytes that a value takes in JSON. */
    public static long jsonBytes(Object value) {
        CountingOutputStream out = new CountingOutputStream(ByteStreams.nullOutputStream());
        try (JsonGenerator generator = JSON.createGenerator(out)) {
            Trees.write(generator, value);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return out.getCount();
    }
}
