package garnetscale.net;

/**
 * How a request ended. Without an answer the difference that matters is whether the request can have been carried out: one that
 * was never written can't, one that was written and not answered may be, even later.
 *
 * @param status the HTTP status code, or 0 without an answer
 * @param body   of the answer, or empty
 */
public record HttpResult(Outcome outcome, int status, byte[] body) {

    /** Whether a request was answered, and if not, whether it can have been carried out. */
    public enum Outcome {
        /** An answer came; its status says more. */
        ANSWERED,
        /** Nothing was written: it wasn't carried out. */
        NOT_SENT,
        /** It was written, and no answer came in time: it may be carried out. */
        NO_ANSWER,
        /** The answer was longer than the caller takes. */
        TOO_LONG
    }

    private static final byte[] EMPTY = new byte[0];

    /** The result of a request that wasn't written. */
    public static final HttpResult NOT_SENT = new HttpResult(Outcome.NOT_SENT, 0, EMPTY);

    /** The result of a request that wasn't answered. */
    public static final HttpResult NO_ANSWER = new HttpResult(Outcome.NO_ANSWER, 0, EMPTY);

    /** The result of a request whose answer was longer than the caller takes. */
    public static final HttpResult TOO_LONG = new HttpResult(Outcome.TOO_LONG, 0, EMPTY);

    /** The result of a request that was answered. */
    public static HttpResult answered(int status, byte[] body) {
        return new HttpResult(Outcome.ANSWERED, status, body);
    }

    /** Whether an answer with this status came. */
    public boolean is(int wanted) {
        return outcome == Outcome.ANSWERED && status == wanted;
    }

    /** Whether the request may have been carried out without anybody here knowing it. */
    public boolean mayHaveBeenApplied() {
        return outcome == Outcome.NO_ANSWER
                || outcome == Outcome.TOO_LONG
                || outcome == Outcome.ANSWERED && status >= HttpStatus.SERVER_ERROR && status != HttpStatus.UNAVAILABLE;
    }
}
