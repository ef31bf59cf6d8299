package garnetscale.core.balance;

/** The estimated work of a team's jobs, in CPU-seconds of waiting tasks and of placed tasks. */
public record TeamDemand(double waitingCpuS, double placedCpuS) {

    static final TeamDemand NONE = new TeamDemand(0, 0);

    TeamDemand plus(double waiting, double placed) {
        return new TeamDemand(waitingCpuS + waiting, placedCpuS + placed);
    }
}
