package garnetscale.net;

/** The HTTP status codes that PROTOCOL uses. */
public final class HttpStatus {

    public static final int OK = 200;
    public static final int CREATED = 201;
    /** The request is malformed and must not be repeated. */
    public static final int BAD_REQUEST = 400;

    public static final int NOT_FOUND = 404;
    public static final int METHOD_NOT_ALLOWED = 405;
    /**
     * From the state service: a guarded key has another revision. From a worker: it has seen a higher fencing token than that of
     * the commands, or their agent epoch isn't its current one.
     */
    public static final int CONFLICT = 409;
    /** Another controller owns the worker's partition. */
    public static final int MISDIRECTED = 421;
    /** The request is well-formed, but can never be carried out. */
    public static final int UNPROCESSABLE = 422;
    /** The lowest of the codes for server errors. */
    public static final int SERVER_ERROR = 500;
    /** The request wasn't carried out and should be repeated. */
    public static final int UNAVAILABLE = 503;

    private HttpStatus() {}
}
