package garnetscale.timeline;

import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;

/** A simulated clock with a queue of events. Events run in the order of their times; ties run in the order of scheduling. */
public abstract class Timeline {

    private record Event(long timeMs, long sequence, Runnable run) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return timeMs != other.timeMs ? Long.compare(timeMs, other.timeMs) : Long.compare(sequence, other.sequence);
        }
    }

    /** The only source of random numbers, so that the seed determines the run. */
    public final Random random;

    /** The simulated time, in milliseconds since the start. */
    public long now;

    /** The number of occurrences of each event that scenarios are meant to provoke. */
    public final Map<String, Integer> occurrences = new TreeMap<>();

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nextSequence;

    protected Timeline(long seed) {
        random = new Random(seed);
    }

    /** Schedules an event {@code delayMs} milliseconds from now. */
    public void at(long delayMs, Runnable run) {
        events.add(new Event(now + delayMs, nextSequence++, run));
    }

    /** Schedules an event every {@code periodMs} milliseconds, first after one period. */
    protected void every(long periodMs, Runnable run) {
        at(periodMs, () -> {
            run.run();
            every(periodMs, run);
        });
    }

    /** Runs all events up to and including a time, and sets the clock to that time. */
    public void run(long untilMs) {
        while (!events.isEmpty() && events.peek().timeMs <= untilMs) {
            Event event = events.poll();
            now = event.timeMs;
            event.run.run();
        }
        now = untilMs;
    }

    /** Counts an event that scenarios are meant to provoke. */
    public void countOccurrence(String event) {
        occurrences.merge(event, 1, Integer::sum);
    }
}
