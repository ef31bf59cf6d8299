package garnetscale.core.trace;

import garnetscale.core.job.JobSpec;
import garnetscale.core.job.Priority;
import garnetscale.core.job.TestJob;
import java.util.List;

/**
 * Runs a trace: lines that begin with {@code >} are inputs, lines that begin with {@code #} are comments, and the other lines are
 * the actions of the core. There are no timers: controllers receive changes of the state service and messages only as the result
 * of an input line. CONTRIBUTING.md explains the input words.
 */
final class TraceRunner {

    private final StringBuilder out = new StringBuilder();
    private final TraceCluster cluster =
            new TraceCluster(line -> out.append("    ").append(line).append('\n'));

    /** Runs the inputs of a trace; returns the trace with the actions of this run in place of the recorded ones. */
    static String play(String trace) {
        TraceRunner runner = new TraceRunner();
        for (String line : trace.split("\n")) {
            if (line.startsWith("#") || line.isBlank()) {
                runner.out.append(line).append('\n');
            } else if (line.startsWith(">")) {
                runner.out.append(line).append('\n');
                runner.execute(line.substring(1).trim().split("\\s+"));
            }
        }
        return runner.out.toString();
    }

    private void execute(String[] words) {
        switch (words[0]) {
            case "at" -> cluster.advanceTo(Long.parseLong(words[1]));
            case "up" -> cluster.start(words[1]);
            case "lapse" -> cluster.expireLease(words[1], flag(words, "crashed"));
            case "sync" -> cluster.synchronize(node -> words.length == 1 || flag(words, node));
            case "worker" -> cluster.startWorker(words[1], option(words, "zone", "a"));
            case "job" -> cluster.submit(job(words));
            case "cancel" -> cluster.cancel(words[1]);
            case "cancellation-notice" -> cluster.node(words[1]).owner.onCancelled(words[2]);
            case "resynchronize" -> cluster.resynchronize(words[1]);
            case "slow" -> cluster.worker(words[1]).slowDown(Double.parseDouble(words[2]));
            case "directory" -> cluster.publishMachineDirectory(words[1]);
            case "deaf" -> cluster.blockMessagesTo(words[1]);
            case "hears" -> cluster.unblockMessagesTo(words[1]);
            case "copy" -> cluster.copyHeartbeat(words[1], words[2]);
            case "report" -> cluster.heartbeat(words[1], words[2], flag(words, "lost"));
            case "tick" -> cluster.tick(words[1]);
            case "lead" -> cluster.lead(words[1], words.length > 2 ? words[2] : "ok");
            case "arrives" -> cluster.commitHeld(words[1]);
            case "command" -> cluster.deliverCommand(words[1]);
            case "placed" -> cluster.showPlacements(words[1]);
            case "finished" -> cluster.showFinished(words[1]);
            case "store" -> cluster.showStored(words[1]);
            default -> throw new IllegalArgumentException("unknown input word: " + words[0]);
        }
    }

    private static JobSpec job(String[] words) {
        return TestJob.named(words[1])
                .team(option(words, "team", "red"))
                .priority(Priority.valueOf(option(words, "rank", "NORMAL")))
                .tasks(Integer.parseInt(option(words, "n", "1")))
                .cpus(Double.parseDouble(option(words, "cpus", "2")))
                .zoneAffinity(flag(words, "one-zone"))
                .zoneAntiAffinity(flag(words, "spread"))
                .imageGb(2)
                .estimateS(Double.parseDouble(option(words, "est", "30")))
                .build();
    }

    private static String option(String[] words, String name, String defaultValue) {
        for (String word : words) {
            if (word.startsWith(name + "=")) {
                return word.substring(name.length() + 1);
            }
        }
        return defaultValue;
    }

    private static boolean flag(String[] words, String name) {
        return List.of(words).contains(name);
    }
}
