package garnetscale.core.job;

import java.util.List;

/**
 * What a user submitted. Lists and texts that the protocol allows to be null are null here too, so that "any type" and "no
 * type" stay different.
 *
 * @param jobClass         the class of jobs by which run times are estimated
 * @param team             the team whose quota it uses
 * @param tasks            how many tasks the job array has
 * @param cpus             CPUs of one task
 * @param gpus             GPUs of one task
 * @param memoryGb         memory of one task
 * @param types            the machine types that it may run on, null for any
 * @param zone             the zone that it must run in, null for any
 * @param zoneAffinity     whether all tasks have to run in one zone
 * @param zoneAntiAffinity whether tasks have to be spread over zones
 * @param spot             whether it may run on spot instances
 * @param image            the image that its tasks need
 * @param imageGb          size of the image
 * @param estimateS        the user's estimate of a task's run time in seconds
 * @param checkpointS      seconds between checkpoints, 0 when it writes none
 * @param checkpointWriteS seconds that writing a checkpoint takes
 * @param deadlineS        seconds within which the user wants it done, null for no deadline
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

    /** Whether it may run on machines of a type. */
    public boolean allowsType(String type) {
        return types == null || types.contains(type);
    }

    /** Whether it may run in a zone. */
    public boolean allowsZone(String candidate) {
        return zone == null || zone.equals(candidate);
    }

    /** Whether its tasks write checkpoints; else a task that is stopped loses all its work. */
    public boolean writesCheckpoints() {
        return checkpointS > 0;
    }
}
