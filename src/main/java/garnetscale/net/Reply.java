package garnetscale.net;

/**
 * An HTTP answer to a request.
 *
 * @param status      the HTTP status code
 * @param body        CBOR, or empty
 * @param retryAfterS seconds for the {@code Retry-After} header; 0 leaves it out
 */
public record Reply(int status, byte[] body, int retryAfterS) {

    private static final byte[] EMPTY = new byte[0];

    /** Creates an answer with a body. */
    public static Reply of(int status, byte[] body) {
        return new Reply(status, body, 0);
    }

    /** Creates an answer without a body. */
    public static Reply of(int status) {
        return new Reply(status, EMPTY, 0);
    }
}
