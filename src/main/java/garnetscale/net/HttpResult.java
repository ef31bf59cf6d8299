package garnetscale.net;

/**
 * How a request ended. Without a status the difference that matters is whether it can have been carried out: a
 * request that was never written can't, one that was written and not answered may be, even later.
 */
public record HttpResult(Outcome outcome, int status, byte[] body) {

    /** Whether a request was answered, and if not, whether it can have been carried out. */
    public enum Outcome {
        ANSWERED,
        NOT_SENT,
        NO_ANSWER,
        TOO_LONG
    }

    public static HttpResult answered(int status, byte[] body) {
        return new HttpResult(Outcome.ANSWERED, status, body);
    }

    public static final HttpResult NOT_SENT = new HttpResult(Outcome.NOT_SENT, 0, new byte[0]);
    public static final HttpResult NO_ANSWER = new HttpResult(Outcome.NO_ANSWER, 0, new byte[0]);

    /** The answer was longer than the caller takes. */
    public static final HttpResult TOO_LONG = new HttpResult(Outcome.TOO_LONG, 0, new byte[0]);

    public boolean is(int wanted) {
        return outcome == Outcome.ANSWERED && status == wanted;
    }

    public boolean maybe() {
        return outcome == Outcome.NO_ANSWER
                || outcome == Outcome.TOO_LONG
                || outcome == Outcome.ANSWERED && status >= 500 && status != 503;
    }
}
