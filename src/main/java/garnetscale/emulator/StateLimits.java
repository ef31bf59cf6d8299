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
 * The state service's limits on one transaction. Sizes are those of the JSON form, as in the protocol.
 *
 * @param valueBytes       the maximum size of one value
 * @param operations       the maximum number of puts and deletes; there may be four times as many guards
 * @param transactionBytes the maximum size of the whole transaction
 */
public record StateLimits(int valueBytes, int operations, int transactionBytes) {

    /** No limits. */
    public static final StateLimits NONE = new StateLimits(Integer.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE);

    private static final int GUARDS_PER_OPERATION = 4;
    private static final JsonFactory JSON = new JsonFactory();

    /** Returns a description of the first limit that the transaction exceeds, or null if it exceeds none. */
    String violation(Transaction transaction) {
        if (equals(NONE)) {
            return null;
        }
        if (transaction.ops().size() > operations) {
            return transaction.ops().size() + " operations, limit is " + operations;
        }
        if (transaction.guards().size() > (long) GUARDS_PER_OPERATION * operations) {
            return transaction.guards().size() + " guards, limit is " + (long) GUARDS_PER_OPERATION * operations;
        }
        for (Transaction.Op operation : transaction.ops()) {
            long bytes = operation.value() == null ? 0 : jsonBytes(operation.value());
            if (bytes > valueBytes) {
                return "value of " + bytes + " bytes under " + operation.key() + ", limit is " + valueBytes;
            }
        }
        long bytes = jsonBytes(StateCodec.tree(transaction));
        return bytes > transactionBytes ? "transaction of " + bytes + " bytes, limit is " + transactionBytes : null;
    }

    /** Returns the size of a value in JSON, in bytes. */
    public static long jsonBytes(Object value) {
        CountingOutputStream out = new CountingOutputStream(ByteStreams.nullOutputStream());
        try (JsonGenerator generator = JSON.createGenerator(out)) {
            Trees.write(generator, value);
        } catch (IOException e) {
            throw new IllegalStateException("value has no JSON form", e);
        }
        return out.getCount();
    }
}
