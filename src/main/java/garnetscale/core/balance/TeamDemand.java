package garnetscale.core.balance;

/** What a team's jobs ask for, in CPU-seconds by their estimates: of tasks that wait, and of tasks that are placed. */
public record TeamDemand(double waitingCpuS, double placedCpuS) {

    static final TeamDemand NONE = new TeamDemand(0, 0);

    TeamDemand plus(double waiting, double placed) {
        return new TeamDemand(waitingCpuS + waiting, placedCpuS + placed);
    }
}
