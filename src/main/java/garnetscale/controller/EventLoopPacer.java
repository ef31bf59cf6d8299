package garnetscale.controller;

import garnetscale.core.SchedulerConfig;
import garnetscale.core.Times;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Decides when the next cycle of the event loop runs, and when the leader may plan again. Messages that arrive close together
 * are handled in one cycle, and long cycles are followed by long pauses, so that requests get their share of the processor.
 * Confined to the event loop.
 */
final class EventLoopPacer {

    /** The longest interval between cycles. */
    static final long TICK_MS = 250;

    /**
     * Events within a 300th of a worker's heartbeat interval are handled in one cycle, and plans are at least an 80th of it
     * apart. New information arrives by heartbeats, and the work of each cycle and plan grows with the number of machines.
     */
    private static final long CYCLES_PER_HEARTBEAT_INTERVAL = 300;

    private static final long PLANS_PER_HEARTBEAT_INTERVAL = 80;
    private static final long MIN_CYCLE_DELAY_MS = 4;
    /** Limit on the plans in a bidding window; each plan goes through all waiting jobs. */
    private static final int PLANS_PER_WINDOW = 10;
    /** After an empty plan, the interval to the next one is multiplied by this: batches of bids rarely arrive alone. */
    private static final long IDLE_BACKOFF = 3;
    /** Length of the pause after a cycle, as a multiple of the cycle's duration. */
    private static final long PAUSE_FACTOR = 3;

    private static final long MAX_PAUSE_MS = TICK_MS / 2;
    /** The process lags when a requested cycle starts late by more than a worker's heartbeat interval divided by this. */
    private static final long MAX_LAG_DIVISOR = 50;

    /** The action to run when a requested cycle is due. */
    interface Cycle {
        /** Runs one cycle; {@code lagging} says whether it starts much later than it was due. */
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
        this.maxLagMs = heartbeatMs / MAX_LAG_DIVISOR;
    }

    /** Returns the milliseconds of the process's steady clock; all times within the process are of this clock. */
    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** Requests a cycle soon; requests before it runs lead to a single cycle. */
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

    /** Requests a cycle at a given time, for work that becomes due without a message. */
    void requestCycleAt(long at) {
        if (wakeAt < now() || wakeAt > at) {
            wakeAt = at;
            eventLoop.schedule(this::requestCycle, at - now(), TimeUnit.MILLISECONDS);
        }
    }

    /** Sets the pause after a cycle that began at {@code startedAt}: the longer the cycle took, the longer the pause. */
    void pauseAfterCycle(long startedAt) {
        pauseUntil = now() + Math.min(MAX_PAUSE_MS, PAUSE_FACTOR * (now() - startedAt));
    }

    /** Returns the earliest time of the leader's next plan. */
    long nextPlanAt() {
        return plannedAt + planIntervalMs * (lastPlanEmpty ? IDLE_BACKOFF : 1);
    }

    /** Records that the leader begins to plan. */
    void planStarted(long now) {
        plannedAt = now;
    }

    /** Records that the leader has planned; {@code empty} says whether there was nothing to change. */
    void planEnded(boolean empty) {
        lastPlanEmpty = empty;
    }
}
