package garnetscale.core.job;

import java.util.List;

/**
 * A job as a user submitted it. Lists and strings that the protocol allows to be null are null here too, so that "any type" and
 * "no type" stay different.
 *
 * @param jobClass the class of the job; run times are estimated by class
 * @param team the team whose quota the job uses
 * @param tasks the number of tasks in the job array
 * @param cpus CPUs of one task
 * @param gpus GPUs of one task
 * @param memoryGb memory of one task in GB
 * @param types the machine types that the job may run on, null for any
 * @param zone the zone that the job must run in, null for any
 * @param zoneAffinity whether all tasks must run in one zone
 * @param zoneAntiAffinity whether tasks must be spread over zones
 * @param spot whether the job may run on spot instances
 * @param image the image that the tasks need
 * @param imageGb size of the image in GB
 * @param estimateS the user's estimate of a task's run time in seconds
 * @param checkpointS seconds between two checkpoints of a task, 0 if tasks write none
 * @param checkpointWriteS seconds that a task takes to write a checkpoint
 * @param deadlineS seconds from submission within which the user wants the job done, null for no deadline
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

    /** Returns whether the job may run on machines of the type. */
    public boolean allowsType(String type) {
        return types == null || types.contains(type);
    }

    /** Returns whether the job may run in the zone. */
    public boolean allowsZone(String candidate) {
        return zone == null || zone.equals(candidate);
    }

    /** Returns whether the job's tasks write checkpoints; a task without them loses all its work when it is stopped. */
    public boolean writesCheckpoints() {
        return checkpointS > 0;
    }
}
