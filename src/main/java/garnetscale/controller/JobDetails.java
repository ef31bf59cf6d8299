package garnetscale.controller;

import garnetscale.core.balance.Move;
import garnetscale.core.machine.Placement;
import java.util.ArrayList;
import java.util.List;

/**
 * The answer to the operators' command {@code job} for a job in the replica.
 *
 * @param finished number of finished tasks
 * @param placed   number of tasks with a placement
 * @param waiting  number of unfinished tasks without a placement
 * @param reason   why tasks wait, or null when none does
 * @param moves    recent moves, each of which stops one of its tasks to run it elsewhere; left out of the answer when empty
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

    /** One placement; {@code zone} is the zone in the machine's record, or null if there is none. */
    record PlacementRow(int task, String machine, String zone, Placement.Stop stop) {}

    /**
     * One move.
     *
     * @param from           the machine that the task was on, and its group in parentheses
     * @param to             the group that bid for the task
     * @param beneficiary    the job that got the freed capacity, or {@code itself}
     * @param gainCpuS       expected gain in whole CPU-seconds
     * @param disruptionCpuS expected loss in whole CPU-seconds
     */
    record MoveRow(int task, String from, String to, String beneficiary, long gainCpuS, long disruptionCpuS) {

        /** Returns the moves of one job's tasks, in the given order. */
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
