package garnetscale.net;

/** An answer to a request; {@code retryAfterS} 0 means that the header is left out. */
public record Reply(int status, byte[] body, int retryAfterS) {

    private static final byte[] NOTHING = new byte[0];

    public static Reply of(int status, byte[] body) {
        return new Reply(status, body, 0);
    }

    public static Reply of(int status) {
        return new Reply(status, NOTHING, 0);
    }
}
