package garnetscale.net;

/** A token bucket that is refilled at a steady rate up to its capacity. Not thread-safe. */
public final class TokenBucket {

    /** Tolerance, in tokens, for the rounding errors in sums of fractions of tokens. */
    private static final double ROUNDING_ERROR = 1e-9;

    private static final double MS_PER_S = 1000;

    private double ratePerS;
    private double capacity;
    /** The available tokens; negative after more were taken than were available. */
    private double tokens;

    /** The time of the last refill, in milliseconds. */
    private long refilledAt;

    /**
     * Creates a full bucket.
     *
     * @param ratePerS tokens added per second
     * @param capacity the most tokens that the bucket holds
     * @param now      the time in milliseconds, of the clock that all calls use
     */
    public TokenBucket(double ratePerS, double capacity, long now) {
        this.ratePerS = ratePerS;
        this.capacity = capacity;
        this.tokens = capacity;
        this.refilledAt = now;
    }

    /** Changes the rate and the capacity, for example when fewer controllers share a limit. */
    public void resize(double newRatePerS, double newCapacity) {
        ratePerS = newRatePerS;
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }

    /**
     * Takes {@code count} tokens if they are available, and otherwise none. A count above the capacity needs a full bucket, and
     * leaves a negative number of tokens.
     *
     * @return whether the tokens were taken
     */
    public boolean tryTake(long now, double count) {
        refill(now);
        if (tokens + ROUNDING_ERROR < Math.min(count, capacity)) {
            return false;
        }
        tokens -= count;
        return true;
    }

    /** Takes {@code count} tokens even if they aren't available, for requests that must not wait. */
    public void takeUnconditionally(long now, double count) {
        refill(now);
        tokens -= count;
    }

    /**
     * Returns the milliseconds until {@code count} tokens are available, or until the bucket is full if its capacity is smaller;
     * 0 if that is the case now.
     */
    public long waitMs(long now, double count) {
        refill(now);
        double missing = Math.min(count, capacity) - tokens;
        return missing <= 0 ? 0 : (long) Math.ceil(missing / ratePerS * MS_PER_S);
    }

    /** Returns the number of available tokens; negative after more were taken than were available. */
    public double available(long now) {
        refill(now);
        return tokens;
    }

    /** Returns the number of tokens added per second. */
    public double ratePerS() {
        return ratePerS;
    }

    private void refill(long now) {
        if (now > refilledAt) {
            tokens = Math.min(capacity, tokens + (now - refilledAt) * ratePerS / MS_PER_S);
            refilledAt = now;
        }
    }
}
