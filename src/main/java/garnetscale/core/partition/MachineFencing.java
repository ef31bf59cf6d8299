package garnetscale.core.partition;

import garnetscale.core.cluster.FencingTokens;
import java.util.HashMap;
import java.util.Map;
import org.agrona.collections.LongHashSet;

/**
 * The fencing token of one machine within one term of its partition, and the starts that the token hasn't superseded yet. A
 * worker rejects a command whose token is lower than the highest that it has seen. Once it has seen a raised token, commands
 * under lower tokens that arrive late or twice have no effect (docs/design.md, "Safety").
 */
final class MachineFencing {

    /** The token that is sent to the machine now. */
    private long token;
    /** The highest token of a direct command that went unanswered, or -1 if there is none. */
    private long lostCommandToken = -1;
    /**
     * Attempts whose start is in the newest acknowledgement. Until the worker's next heartbeat, it is unknown whether the
     * worker executes or drops the start.
     */
    private final LongHashSet startsInReply = new LongHashSet();
    /** The token under which each attempt's start was last sent directly; such a command may arrive late or twice. */
    private final Map<Long, Long> directStarts = new HashMap<>();

    /** Creates the fencing state with the first token of the partition's term. */
    MachineFencing(long partitionTerm) {
        token = FencingTokens.firstToken(partitionTerm);
    }

    /** Returns the token that is sent to the machine now. */
    long token() {
        return token;
    }

    /**
     * Records that the worker has seen the token, of the current term or an earlier one. The machine's token is never lower
     * than a token that the worker has seen.
     */
    void onTokenSeen(long seenToken) {
        token = Math.max(token, seenToken);
    }

    /** Whether the worker has seen a token of the term that the machine's token belongs to. */
    boolean isOfCurrentTerm(long seenToken) {
        return seenToken >= FencingTokens.firstToken(FencingTokens.partitionTermOf(token));
    }

    /**
     * Whether the term has a higher token than the current one. Without a higher token a lost command couldn't be superseded.
     */
    boolean canRaise() {
        return FencingTokens.sameTerm(token + 1, token);
    }

    /** Raises the token above {@code other}; leaves it unchanged when the term's tokens are used up. */
    private void raiseAbove(long other) {
        if (token <= other && FencingTokens.sameTerm(other + 1, other)) {
            token = other + 1;
        }
    }

    /** Handles a direct command under {@code commandToken} that went unanswered and may still arrive. */
    void onCommandLost(long commandToken) {
        lostCommandToken = Math.max(lostCommandToken, commandToken);
        raiseAbove(commandToken);
    }

    /** Whether a lost command may still take effect on a worker that has seen no higher token than {@code seenToken}. */
    boolean hasLostCommand(long seenToken) {
        return lostCommandToken >= seenToken;
    }

    /** Records that a start of the attempt is sent directly under the current token. */
    void onDirectStart(long attempt) {
        directStarts.put(attempt, token);
    }

    /**
     * Drops the direct starts under tokens lower than {@code seenToken}. The worker has seen that token, so these starts can no
     * longer take effect.
     */
    void dropSupersededStarts(long seenToken) {
        directStarts.values().removeIf(startToken -> startToken < seenToken);
    }

    /** Records that a start of the attempt is sent with the acknowledgement of a heartbeat. */
    void onStartInReply(long attempt) {
        startsInReply.add(attempt);
    }

    /**
     * Clears the starts in the previous acknowledgement. A newer heartbeat arrived or a newer agent epoch began, so that the
     * worker has executed or dropped them.
     */
    void clearStartsInReply() {
        startsInReply.clear();
    }

    /** Whether the newest acknowledgement carries a start of the attempt. */
    boolean isStartInReply(long attempt) {
        return startsInReply.contains(attempt);
    }

    /**
     * Returns whether no start of the attempt can still take effect, other than a start whose effect the newest heartbeat already
     * shows. A direct command may arrive late and twice, answered or not; only a worker that has seen a higher token than the
     * command's rejects it. Without this check, a copy of a start that arrives after the clear would run the task a second time.
     * A start in an acknowledgement is settled by the worker's next heartbeat: a worker drops an answer that arrives more than
     * four seconds after it sent the heartbeat, and sends the next heartbeat only after the answer or those four seconds
     * (PROTOCOL). Commands from earlier owners have tokens below this term's first token.
     *
     * <p>If a direct start isn't superseded yet, this method raises the token, so that a later heartbeat can show a token that
     * supersedes the start.
     *
     * @param seenToken the token in the machine's newest heartbeat
     * @param partitionTerm the term under which the partition is owned now
     */
    boolean isStartSuperseded(long attempt, long seenToken, long partitionTerm) {
        if (seenToken < FencingTokens.firstToken(partitionTerm) || startsInReply.contains(attempt)) {
            return false;
        }
        Long sentUnder = directStarts.get(attempt);
        if (sentUnder == null || seenToken > sentUnder) {
            return true;
        }
        raiseAbove(sentUnder);
        return false;
    }
}
