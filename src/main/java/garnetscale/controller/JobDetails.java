package garnetscale.controller;

import garnetscale.core.balance.Move;
import garnetscale.core.machine.Placement;
import java.util.ArrayList;
import java.util.List;

/**
 * The answer to {@code job} for a job that the replica holds.
 *
 * @param reason why its tasks wait, or null when none does
 * @param moves  its tasks that were stopped lately to run elsewhere; left out of the answer when empty
 */
record JobDetails(
        String id,
        String state,
        String team,
        String jobClass,
        int tasks,
        int finished,
        int placed,
        int waiting,
        String reason,
        List<PlacementRow> placements,
        List<MoveRow> moves) {

    /** One placement; {@code zone} is that of the machine's record, or null. */
    record PlacementRow(int task, String machine, String zone, Placement.Stop stop) {}

    /**
     * One move.
     *
     * @param from          the machine, and its group in parentheses
     * @param to            the group that bid for the task
     * @param beneficiary   the job that got the room, or {@code itself}
     * @param gainCpuS       expected gain in whole CPU-seconds
     * @param disruptionCpuS expected loss in whole CPU-seconds
     */
    record MoveRow(int task, String from, String to, String beneficiary, long gainCpuS, long disruptionCpuS) {

        /** The moves of one job's tasks, in the given order. */
        static List<MoveRow> ofJob(List<Move> moves, String job) {
            List<MoveRow> rows = new ArrayList<>();
            for (Move move : moves) {
                if (move.task().job().equals(job)) {
                    rows.add(of(move));
                }
            }
            return rows;
        }

        private static MoveRow of(Move move) {
            return new MoveRow(
                    move.task().index(),
                    move.machine() + " (" + move.from() + ")",
                    move.to().toString(),
                    move.beneficiary() == null ? "itself" : move.beneficiary(),
                    Math.round(move.gainCpuS()),
                    Math.round(move.disruptionCpuS()));
        }
    }
}
