package garnetscale.core.job;

import java.util.List;

/**
 * What a user asked for. Lists and texts that the protocol lets be null are null here too, so that
 * "any type" and "no type" stay different things.
 */
public record JobSpec(
        String id,
        String jobClass,
        String team,
        Priority priority,
        int tasks,
        double cpus,
        double gpus,
        double memoryGb,
        List<String> types,
        String zone,
        boolean zoneAffinity,
        boolean zoneAntiAffinity,
        boolean spot,
        String image,
        double imageGb,
        double estimateS,
        double checkpointS,
        double checkpointWriteS,
        Double deadlineS) {

    public boolean allowsType(String type) {
        return types == null || types.contains(type);
    }

    public boolean allowsZone(String candidate) {
        return zone == null || zone.equals(candidate);
    }

    /** A task that never saves loses all its work when it is stopped. */
    public boolean writesCheckpoints() {
        return checkpointS > 0;
    }
}
