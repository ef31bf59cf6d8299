package garnetscale.core.partition;

import garnetscale.core.cluster.FencingTokens;
import java.util.HashMap;
import java.util.Map;
import org.agrona.collections.LongHashSet;

/**
 * The fencing token of one machine within one term of its partition, and the starts that the token has yet to supersede. A
 * worker refuses a command with a lower token than the highest it has seen, so raising the token disarms commands that may
 * arrive late or twice (docs/design.md, "Safety").
 */
final class MachineFencing {

    /** The token that the machine is sent now. */
    private long token;
    /** The highest token of a direct command that went unanswered, or -1. */
    private long lostCommandToken = -1;
    /** Starts in the acknowledgement of the newest heartbeat: the worker may have taken or dropped them. */
    private final LongHashSet startsInReply = new LongHashSet();
    /** The token under which an attempt's start was last sent directly; such a command may arrive late or twice. */
    private final Map<Long, Long> directStarts = new HashMap<>();

    /** Starts with the first token of the partition's term. */
    MachineFencing(long partitionTerm) {
        token = FencingTokens.firstToken(partitionTerm);
    }

    /** The token that the machine is sent now. */
    long token() {
        return token;
    }

    /** The worker has seen this token, of the present term or an earlier one; the machine's token is never below it. */
    void onTokenSeen(long seenToken) {
        token = Math.max(token, seenToken);
    }

    /** Whether the worker has seen a token of the term that the machine's token belongs to. */
    boolean isOfPresentTerm(long seenToken) {
        return seenToken >= FencingTokens.firstToken(FencingTokens.partitionTermOf(token));
    }

    /** Whether the term still has a higher token than the present one; without it a lost command couldn't be superseded. */
    boolean canRaise() {
        return FencingTokens.sameTerm(token + 1, token);
    }

    /** Raises the token above the given one; when the term's tokens are used up it stays where it is. */
    private void raiseAbove(long other) {
        if (token <= other && FencingTokens.sameTerm(other + 1, other)) {
            token = other + 1;
        }
    }

    /** A direct command under the token went unanswered and may still arrive. */
    void onCommandLost(long commandToken) {
        lostCommandToken = Math.max(lostCommandToken, commandToken);
        raiseAbove(commandToken);
    }

    /** Whether a lost command may still take effect on a worker that has seen no higher token than this one. */
    boolean hasLostCommand(long seenToken) {
        return lostCommandToken >= seenToken;
    }

    /** A start of the attempt is sent directly under the present token. */
    void onDirectStart(long attempt) {
        directStarts.put(attempt, token);
    }

    /** The worker has seen the token: direct starts under lower ones can't take effect any more. */
    void dropSupersededStarts(long seenToken) {
        directStarts.values().removeIf(startToken -> startToken < seenToken);
    }

    /** A start of the attempt goes out with the acknowledgement of a heartbeat. */
    void onStartInReply(long attempt) {
        startsInReply.add(attempt);
    }

    /** A newer heartbeat came, or a newer agent epoch began: starts in the reply before have been taken or dropped. */
    void clearStartsInReply() {
        startsInReply.clear();
    }

    /** Whether the newest acknowledgement carries a start of the attempt. */
    boolean isStartInReply(long attempt) {
        return startsInReply.contains(attempt);
    }

    /**
     * Whether no start of the attempt can take effect any more that the newest heartbeat doesn't show already. A direct
     * command may arrive late and twice, answered or not; only a worker that has seen a higher token than the command's
     * refuses it. Without this check a copy of a start that arrives after the clear would run the task a second time. Starts
     * in the acknowledgement of a heartbeat are dropped after four seconds and so before the next heartbeat. What earlier
     * owners sent is below this term's first token.
     *
     * <p>If a direct start is still in the way, this raises the token, so that a later heartbeat can show that it isn't.
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
