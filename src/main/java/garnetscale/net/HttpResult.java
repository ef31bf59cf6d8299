package garnetscale.net;

/**
 * The result of a request. If no answer was received, what matters is whether the request may be carried out: a request that was
 * never written can't be; one that was written and not answered may be, even after this result.
 *
 * @param status the HTTP status code; 0 unless the outcome is {@code ANSWERED}
 * @param body   the body of the answer; empty unless the outcome is {@code ANSWERED}
 */
public record HttpResult(Outcome outcome, int status, byte[] body) {

    /** Whether a request was answered, and if not, whether it may be carried out. */
    public enum Outcome {
        /** An answer was received, with any status. */
        ANSWERED,
        /** The request wasn't written, so it isn't carried out. */
        NOT_SENT,
        /** The request was written and no answer was received in time: it may be carried out. */
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

    /** Returns whether the request may be carried out, now or later, without an answer that confirms it. */
    public boolean mayHaveBeenApplied() {
        return outcome == Outcome.NO_ANSWER
                || outcome == Outcome.TOO_LONG
                || outcome == Outcome.ANSWERED && status >= HttpStatus.SERVER_ERROR && status != HttpStatus.UNAVAILABLE;
    }
}
