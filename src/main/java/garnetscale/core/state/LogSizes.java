package garnetscale.core.state;

import garnetscale.core.machine.Placement;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Upper bounds of the sizes of work log elements, in bytes of JSON, which is how the protocol counts them. */
final class LogSizes {

    /** Size of a placement without the id of its job. */
    private static final int PLACEMENT_OVERHEAD_BYTES = 52;
    /** Size of a machine without its id, zone, placements and images. */
    private static final int MACHINE_OVERHEAD_BYTES = 50;
    /** Size of an image without its name. */
    private static final int IMAGE_OVERHEAD_BYTES = 28;
    /** Size of a part of a finished set without its name and bits. */
    private static final int PART_OVERHEAD_BYTES = 16;
    /** Tasks of a finished set per Base64 character. */
    private static final int TASKS_PER_CHARACTER = 6;

    private LogSizes() {}

    static int machine(String id, MachineRecord machine) {
        int bytes = emptyMachine(id, machine.zone()) + images(machine.images().keySet());
        for (Placement placement : machine.placements()) {
            bytes += placement(placement.task().job());
        }
        return bytes;
    }

    /**
     * Returns the size of a machine without placements and images.
     *
     * @param zone the machine's zone, or null if its record is removed
     */
    static int emptyMachine(String id, String zone) {
        return id.length() + MACHINE_OVERHEAD_BYTES + (zone == null ? 0 : zone.length());
    }

    static int placement(String job) {
        return job.length() + PLACEMENT_OVERHEAD_BYTES;
    }

    static int images(Set<String> names) {
        int bytes = 0;
        for (String name : names) {
            bytes += image(name);
        }
        return bytes;
    }

    static int image(String name) {
        return text(name) + IMAGE_OVERHEAD_BYTES;
    }

    /** Returns the size of a part of the finished set of a job with {@code tasks} tasks. */
    static int part(String part, int tasks) {
        return part.length() + Math.min(WorkLog.TASKS_PER_PART, tasks) / TASKS_PER_CHARACTER + PART_OVERHEAD_BYTES;
    }

    /** Returns the size of a string with its quotation marks. */
    static int text(String text) {
        int bytes = 2;
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            bytes += character < ' ' ? 6 : character == '"' || character == '\\' ? 2 : character < 0x80 ? 1 : 3;
        }
        return bytes;
    }

    /** Splits the contents of a bucket into one or more pages, each at most {@code pageBytes} long unless it has one record. */
    static List<WorkLog.Contents> pages(WorkLog.Contents bucket, int pageBytes) {
        List<WorkLog.Contents> pages = new ArrayList<>();
        WorkLog.Contents page = emptyPage(bucket);
        int bytes = 0;
        for (Map.Entry<String, MachineRecord> machine : bucket.machines().entrySet()) {
            int size = machine(machine.getKey(), machine.getValue());
            if (bytes > 0 && bytes + size > pageBytes) {
                pages.add(page);
                page = emptyPage(bucket);
                bytes = 0;
            }
            page.machines().put(machine.getKey(), machine.getValue());
            bytes += size;
        }
        for (Map.Entry<String, BitSet> part : bucket.parts().entrySet()) {
            int size = part(part.getKey(), WorkLog.TASKS_PER_PART);
            if (bytes > 0 && bytes + size > pageBytes) {
                pages.add(page);
                page = emptyPage(bucket);
                bytes = 0;
            }
            page.parts().put(part.getKey(), part.getValue());
            bytes += size;
        }
        pages.add(page);
        return pages;
    }

    private static WorkLog.Contents emptyPage(WorkLog.Contents bucket) {
        return new WorkLog.Contents(bucket.sequence(), new LinkedHashMap<>(), new LinkedHashMap<>());
    }
}
