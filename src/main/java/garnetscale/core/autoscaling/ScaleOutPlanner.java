package garnetscale.core.autoscaling;

import garnetscale.core.Times;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Launches missing instances, one offering per call, and records the cloud's answers. */
final class ScaleOutPlanner {

    static final int MAX_INSTANCES_PER_CALL = 50;

    /** Upper bound of the time between two launches, which is otherwise twice the time between two calls. */
    private static final long MAX_INTERVAL_MS = 1000;

    private final InstanceList instances;
    private final Offerings offerings;
    private final Consumer<String> log;
    private final long intervalMs;
    private long requestedAt = Times.NEVER;
    private long term;
    private int sequence;

    /** Creates a planner; {@code callSpacingMs} is the time between two calls to the cloud. */
    ScaleOutPlanner(InstanceList instances, Offerings offerings, long callSpacingMs, Consumer<String> log) {
        this.instances = instances;
        this.offerings = offerings;
        this.intervalMs = Math.min(MAX_INTERVAL_MS, 2 * callSpacingMs);
        this.log = log;
    }

    /** Starts a leader's term. Request ids contain the term, so that no two leaders use the same id. */
    void start(long leaderTerm) {
        term = leaderTerm;
        sequence = 0;
        requestedAt = Times.NEVER;
    }

    /** Returns the launch of the first missing offering, or null if none is missing or the last launch was too recent. */
    CloudCall next(long now, Map<Offering, Integer> missing) {
        if (missing.isEmpty() || now - requestedAt < intervalMs) {
            return null;
        }
        requestedAt = now;
        Map.Entry<Offering, Integer> first = missing.entrySet().iterator().next();
        Offering offering = first.getKey();
        return new CloudCall.ScaleOut(
                "r-" + term + "-" + ++sequence,
                offering.type(),
                offering.zone(),
                offering.spot(),
                Math.min(MAX_INSTANCES_PER_CALL, first.getValue()));
    }

    /** Records launched instances; fewer than requested means that the cloud's capacity is exhausted. */
    void onScaledOut(long now, CloudCall.ScaleOut call, List<String> ids) {
        for (String id : ids) {
            instances.onLaunched(
                    now,
                    new CloudInstance(id, "", call.type(), call.zone(), call.spot(), CloudInstance.State.BOOTING, 0));
        }
        log.accept("scaled out, launched=" + ids.size() + " requested=" + call.count() + describe(call));
        if (ids.size() < call.count()) {
            onRefused(now, call);
        } else {
            offerings.endBackoff(offering(call));
        }
    }

    /** Backs off from an offering that the cloud had no capacity for, or for which the request failed. */
    void onRefused(long now, CloudCall.ScaleOut call) {
        if (offerings.backOff(now, offering(call))) {
            log.accept("scale-out refused, backing off," + describe(call));
        }
    }

    private static Offering offering(CloudCall.ScaleOut call) {
        return new Offering(call.type(), call.zone(), call.spot());
    }

    private static String describe(CloudCall.ScaleOut call) {
        return " type=" + call.type() + " zone=" + call.zone() + " spot=" + call.spot();
    }
}
