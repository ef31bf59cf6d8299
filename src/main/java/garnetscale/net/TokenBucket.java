package garnetscale.net;

/** A token bucket: tokens come at a steady rate, and up to a bound are saved. Not thread-safe. */
public final class TokenBucket {

    /** Sums of fractions of tokens are compared up to this error. */
    private static final double ROUNDING_ERROR = 1e-9;

    private static final double MS_PER_S = 1000;

    private double perS;
    private double capacity;
    private double tokens;
    private long refilledAt;

    /** A full bucket; {@code now} in milliseconds of the clock that all calls use. */
    public TokenBucket(double perS, double capacity, long now) {
        this.perS = perS;
        this.capacity = capacity;
        this.tokens = capacity;
        this.refilledAt = now;
    }

    /** Changes the rate and the capacity, as when a limit is shared among fewer. */
    public void resize(double newPerS, double newCapacity) {
        perS = newPerS;
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }

    /** Takes so many tokens, or none if they aren't there. More than the capacity passes when the bucket is full. */
    public boolean take(long now, double count) {
        refill(now);
        if (tokens + ROUNDING_ERROR < Math.min(count, capacity)) {
            return false;
        }
        tokens -= count;
        return true;
    }

    /** Takes so many tokens whether they are there or not, for what mustn't wait. */
    public void force(long now, double count) {
        refill(now);
        tokens -= count;
    }

    /** Milliseconds until so many tokens are there; 0 when they are. */
    public long waitMs(long now, double count) {
        refill(now);
        double missing = Math.min(count, capacity) - tokens;
        return missing <= 0 ? 0 : (long) Math.ceil(missing / perS * MS_PER_S);
    }

    /** How many tokens there are; below 0 after more was taken than was there. */
    public double available(long now) {
        refill(now);
        return tokens;
    }

    /** How many tokens come in a second. */
    public double ratePerS() {
        return perS;
    }

    private void refill(long now) {
        if (now > refilledAt) {
            tokens = Math.min(capacity, tokens + (now - refilledAt) * perS / MS_PER_S);
            refilledAt = now;
        }
    }
}
