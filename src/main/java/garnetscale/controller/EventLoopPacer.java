package garnetscale.controller;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.Times;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Decides when the next cycle of the event loop runs, and when the leader may plan again. Messages that come close together
 * are handled in one cycle, and long cycles are followed by long pauses, so that requests get their part of the processor.
 * Lives on the event loop.
 */
final class EventLoopPacer {

    /** A cycle runs at least this often, in milliseconds. */
    static final long TICK_MS = 250;

    /**
     * What happens within a 300th of a heartbeat interval is handled in one cycle, and a plan follows another after an 80th at
     * the soonest: news comes by heartbeats, and the more machines there are the more each cycle and plan goes over.
     */
    private static final long CYCLES_PER_HEARTBEAT_INTERVAL = 300;

    private static final long PLANS_PER_HEARTBEAT_INTERVAL = 80;
    private static final long MIN_CYCLE_DELAY_MS = 4;
    /** Plans in a bidding window; each goes through all jobs that wait. */
    private static final int PLANS_PER_WINDOW = 10;
    /** After an empty plan the next one waits this many times as long: batches rarely come alone. */
    private static final long IDLE_BACKOFF = 3;
    /** The pause after a cycle, in multiples of the time that it took. */
    private static final long PAUSE_FACTOR = 3;

    private static final long MAX_PAUSE_MS = TICK_MS / 2;
    /** A process whose cycles come later than this part of a heartbeat interval lags. */
    private static final long LAG_PER_HEARTBEAT_INTERVAL = 50;

    /** What is run when a requested cycle is due. */
    interface Cycle {
        /** Runs one cycle; {@code lagging} tells whether it comes much later than it was due. */
        void run(boolean lagging);
    }

    private final EventLoop eventLoop;
    private final Cycle cycle;
    private final long cycleDelayMs;
    private final long planIntervalMs;
    private final long maxLagMs;
    private boolean cycleRequested;
    private long pauseUntil;
    private long wakeAt = -1;
    private long plannedAt = Times.NEVER;
    private boolean lastPlanEmpty;

    EventLoopPacer(SchedulerConfig config, EventLoop eventLoop, Cycle cycle) {
        this.eventLoop = eventLoop;
        this.cycle = cycle;
        long heartbeatMs = config.heartbeatIntervalMs();
        this.cycleDelayMs = Math.max(MIN_CYCLE_DELAY_MS, heartbeatMs / CYCLES_PER_HEARTBEAT_INTERVAL);
        this.planIntervalMs =
                Math.max(config.bidWindowMs() / PLANS_PER_WINDOW, heartbeatMs / PLANS_PER_HEARTBEAT_INTERVAL);
        this.maxLagMs = heartbeatMs / LAG_PER_HEARTBEAT_INTERVAL;
    }

    /** The steady clock of the process, in milliseconds; all times of its parts are of this clock. */
    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** Has a cycle run soon. */
    void requestCycle() {
        if (!cycleRequested) {
            cycleRequested = true;
            long delay = Math.max(cycleDelayMs, pauseUntil - now());
            long due = now() + delay;
            eventLoop.schedule(
                    () -> {
                        cycleRequested = false;
                        cycle.run(now() - due > maxLagMs);
                    },
                    delay,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Has a cycle run at a time at which something comes due by itself. */
    void requestCycleAt(long at) {
        if (wakeAt < now() || wakeAt > at) {
            wakeAt = at;
            eventLoop.schedule(this::requestCycle, at - now(), TimeUnit.MILLISECONDS);
        }
    }

    /** A cycle that began at this time is over: the longer it took, the longer the pause until the next. */
    void pauseAfterCycle(long startedAt) {
        pauseUntil = now() + Math.min(MAX_PAUSE_MS, PAUSE_FACTOR * (now() - startedAt));
    }

    /** The earliest time of the leader's next plan. */
    long nextPlanAt() {
        return plannedAt + planIntervalMs * (lastPlanEmpty ? IDLE_BACKOFF : 1);
    }

    /** The leader begins to plan. */
    void planStarted(long now) {
        plannedAt = now;
    }

    /** The leader has planned; {@code empty} tells whether there was nothing to change. */
    void planEnded(boolean empty) {
        lastPlanEmpty = empty;
    }
}
