package garnetscale.timeline;

import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;

/** A simulated time with what is to happen in it: in the order of times, and of what was put in first among equals. */
public abstract class Timeline {

    private record Event(long at, long order, Runnable run) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    /** All that happens by chance comes of this, and so of the seed. */
    public final Random random;

    public long now;
    /** How often what a day is steered into came about. */
    public final Map<String, Integer> met = new TreeMap<>();

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long order;

    protected Timeline(long seed) {
        random = new Random(seed);
    }

    public void at(long delay, Runnable run) {
        events.add(new Event(now + delay, order++, run));
    }

    protected void every(long period, Runnable run) {
        at(period, () -> {
            run.run();
            every(period, run);
        });
    }

    public void run(long until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            Event e = events.poll();
            now = e.at;
            e.run.run();
        }
        now = until;
    }

    /** Something that a day is steered into came about. */
    public void met(String what) {
        met.merge(what, 1, Integer::sum);
    }
}
