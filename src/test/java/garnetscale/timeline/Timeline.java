package garnetscale.timeline;

import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;

/** A simulated clock and its events, which run in the order of their times, and of their scheduling among equals. */
public abstract class Timeline {

    private record Event(long at, long order, Runnable run) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** The only source of random numbers, so that a run follows from its seed. */
    public final Random random;

    /** Milliseconds since the start. */
    public long now;

    /** How often each event occurred that a scenario is steered into. */
    public final Map<String, Integer> occurrences = new TreeMap<>();

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long order;

    protected Timeline(long seed) {
        random = new Random(seed);
    }

    /** Schedules an event {@code delay} milliseconds from now. */
    public void at(long delay, Runnable run) {
        events.add(new Event(now + delay, order++, run));
    }

    /** Schedules an event again and again. */
    protected void every(long period, Runnable run) {
        at(period, () -> {
            run.run();
            every(period, run);
        });
    }

    /** Runs all events up to a time, which is the present one then. */
    public void run(long until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            Event event = events.poll();
            now = event.at;
            event.run.run();
        }
        now = until;
    }

    /** Counts an event that a scenario is steered into. */
    public void countOccurrence(String what) {
        occurrences.merge(what, 1, Integer::sum);
    }
}
