package garnetscale.core.state;

import garnetscale.core.machine.Placement;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Upper bounds of the bytes that parts of the work log take, counted in JSON as the protocol counts them. */
final class LogSizes {

    /** A placement's row beside the id of its job. */
    private static final int PLACEMENT_ROW = 52;
    /** A machine's row beside its id, its zone and what is in it. */
    private static final int MACHINE_ROW = 50;
    /** An image's row beside its name. */
    private static final int IMAGE_ROW = 28;
    /** A part of a finished set beside its name and its bits. */
    private static final int PART_ROW = 16;
    /** Tasks of a finished set that one character of Base64 stands for. */
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
     * A machine without placements and images.
     *
     * @param zone null when its record is removed
     */
    static int emptyMachine(String id, String zone) {
        return id.length() + MACHINE_ROW + (zone == null ? 0 : zone.length());
    }

    static int placement(String job) {
        return job.length() + PLACEMENT_ROW;
    }

    static int images(Set<String> names) {
        int bytes = 0;
        for (String name : names) {
            bytes += image(name);
        }
        return bytes;
    }

    static int image(String name) {
        return text(name) + IMAGE_ROW;
    }

    /** A part of the finished set of a job with so many tasks. */
    static int part(String part, int tasks) {
        return part.length() + Math.min(WorkLog.TASKS_PER_PART, tasks) / TASKS_PER_CHARACTER + PART_ROW;
    }

    /** A text with its quotation marks. */
    static int text(String text) {
        int bytes = 2;
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            bytes += character < ' ' ? 6 : character == '"' || character == '\\' ? 2 : character < 0x80 ? 1 : 3;
        }
        return bytes;
    }

    /** Splits the contents of a bucket into pages that each fit into a value; at least one. */
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
        return new WorkLog.Contents(bucket.number(), new LinkedHashMap<>(), new LinkedHashMap<>());
    }
}
