package garnetscale.net;

/** The HTTP status codes that PROTOCOL uses. */
public final class HttpStatus {

    public static final int OK = 200;
    public static final int CREATED = 201;
    /** Malformed, and not to be repeated. */
    public static final int BAD_REQUEST = 400;

    public static final int NOT_FOUND = 404;
    public static final int METHOD_NOT_ALLOWED = 405;
    /** To a controller: a compared revision differs. By a worker: a newer fencing token was seen. */
    public static final int CONFLICT = 409;
    /** Another controller owns the worker's partition. */
    public static final int MISDIRECTED = 421;
    /** Well-formed, and can't ever be carried out. */
    public static final int UNPROCESSABLE = 422;
    /** The first of the codes that tell of a fault of the server. */
    public static final int SERVER_ERROR = 500;
    /** Not carried out; to be repeated. */
    public static final int UNAVAILABLE = 503;

    private HttpStatus() {}
}
