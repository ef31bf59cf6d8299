package garnetscale.net;

/**
 * The result of a request. Without an answer, the caller needs to know whether the server may carry out the request. The server
 * can't if the request was never written. If it was written, the server may have carried it out, or may do so after this result.
 *
 * @param status the HTTP status code; 0 unless the outcome is {@code ANSWERED}
 * @param body   the body of the answer; empty unless the outcome is {@code ANSWERED}
 */
public record HttpResult(Outcome outcome, int status, byte[] body) {

    /** Whether a request was answered, and if not, whether it was written. */
    public enum Outcome {
        /** An answer was received, with any status. */
        ANSWERED,
        /** The request wasn't written, so the server can't carry it out. */
        NOT_SENT,
        /**
         * The request was written, but no answer was received before the timeout or the loss of the connection. The server may
         * carry out the request.
         */
        NO_ANSWER,
        /** The request was answered, but the answer exceeded the client's size limit and was dropped. */
        TOO_LONG
    }

    private static final byte[] EMPTY = new byte[0];

    /** The result of a request that wasn't written. */
    public static final HttpResult NOT_SENT = new HttpResult(Outcome.NOT_SENT, 0, EMPTY);

    /** The result of a request that wasn't answered. */
    public static final HttpResult NO_ANSWER = new HttpResult(Outcome.NO_ANSWER, 0, EMPTY);

    /** The result of a request whose answer exceeded the client's size limit. */
    public static final HttpResult TOO_LONG = new HttpResult(Outcome.TOO_LONG, 0, EMPTY);

    /** Creates the result of a request that was answered. */
    public static HttpResult answered(int status, byte[] body) {
        return new HttpResult(Outcome.ANSWERED, status, body);
    }

    /** Returns whether an answer with this status was received. */
    public boolean is(int expected) {
        return outcome == Outcome.ANSWERED && status == expected;
    }

    /**
     * Returns whether the server may have carried out the request, or may still do so, without an answer that confirms it. Of the
     * server errors, only 503 rules this out.
     */
    public boolean mayHaveBeenApplied() {
        return outcome == Outcome.NO_ANSWER
                || outcome == Outcome.TOO_LONG
                || outcome == Outcome.ANSWERED && status >= HttpStatus.SERVER_ERROR && status != HttpStatus.UNAVAILABLE;
    }
}
