package garnetscale.net;

/** A token bucket: so many a second, and so many saved up at most. */
public final class TokenBucket {

    private double perS;
    private double most;
    private double tokens;
    private long last;

    public TokenBucket(double perS, double most, long now) {
        this.perS = perS;
        this.most = most;
        this.tokens = most;
        this.last = now;
    }

    /** Changes the rate and what may be saved up, as when the limit is shared among fewer. */
    public void resize(double newPerS, double newMost) {
        perS = newPerS;
        most = newMost;
        tokens = Math.min(tokens, most);
    }

    /** Takes so many tokens, or none if they aren't there. More than it can ever hold passes when it is full. */
    public boolean take(long now, double count) {
        refill(now);
        if (tokens + 1e-9 < Math.min(count, most)) {
            return false;
        }
        tokens -= count;
        return true;
    }

    /** Takes them whether they are there or not: for what mustn't wait. */
    public void force(long now, double count) {
        refill(now);
        tokens -= count;
    }

    /** Milliseconds until so many tokens are there. */
    public long waitMs(long now, double count) {
        refill(now);
        double missing = Math.min(count, most) - tokens;
        return missing <= 0 ? 0 : (long) Math.ceil(missing / perS * 1000);
    }

    /** How many tokens there are; below 0 after more was taken than was there. */
    public double available(long now) {
        refill(now);
        return tokens;
    }

    /** How many tokens come in a second. */
    public double perS() {
        return perS;
    }

    private void refill(long now) {
        if (now > last) {
            tokens = Math.min(most, tokens + (now - last) * perS / 1000);
            last = now;
        }
    }
}
