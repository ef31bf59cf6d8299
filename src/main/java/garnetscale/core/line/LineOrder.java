package garnetscale.core.line;

import garnetscale.core.store.JobView;

/**
 * The order of a line: priority, then the shorter estimate, aged by waiting (DESIGN; the paper's shortest
 * processing time first). A job's estimate is divided by one plus its waiting in units of that same estimate,
 * so that a long job overtakes short ones after waiting a few times its own length, and tiny estimates gain
 * nothing below a floor: a guest's jobs of no length at all can't stand at every head for ever.
 */
public final class LineOrder {

    /** Estimates below this count as this much, in seconds. */
    private static final double FLOOR_S = 10;

    private LineOrder() {
    }

    /** Smaller is nearer to the head; the priority is the whole part of the ten thousands. */
    public static double key(JobView job, long nowMs) {
        double estimate = Math.max(FLOOR_S, job.spec().estimateS());
        double waited = Math.max(0, nowMs - job.job().submittedMs()) / 1000.0;
        double aged = estimate / (1 + waited / estimate);
        return job.spec().priority().ordinal() * 1e6 + Math.min(aged, 9e5);
    }
}
