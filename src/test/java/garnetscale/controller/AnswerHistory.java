package garnetscale.controller;

import garnetscale.net.Reply;
import garnetscale.wire.Cbor;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The answers of all controllers about each job; detects answers that contradict earlier ones. */
final class AnswerHistory {

    /** The furthest progress of a job that answers have shown; later answers may not show less. */
    enum Progress {
        NOTHING,
        ACCEPTED,
        TERMINAL
    }

    /** What the answers before a request have said about its job; {@code terminalState} is null if none showed one. */
    record KnownState(Progress progress, String terminalState) {}

    private final Map<String, Progress> progress = new HashMap<>();
    private final Map<String, String> terminalStates = new HashMap<>();
    private final Set<String> cancelRequested = new HashSet<>();
    private final Set<String> refused = new HashSet<>();
    private final List<String> violations;

    AnswerHistory(List<String> violations) {
        this.violations = violations;
    }

    /** Returns what answers so far have said about a job. */
    KnownState knownState(String id) {
        return new KnownState(progress.getOrDefault(id, Progress.NOTHING), terminalStates.get(id));
    }

    boolean isKnown(String id) {
        return progress.containsKey(id);
    }

    Set<String> knownJobs() {
        return Set.copyOf(progress.keySet());
    }

    /** Records that no job of this id exists, and that none may be stored. */
    void refuse(String id) {
        refused.add(id);
    }

    Set<String> refusedJobs() {
        return refused;
    }

    void requestCancel(String id) {
        cancelRequested.add(id);
    }

    /** Checks an answer against what was known before its request was sent, and records it. */
    void check(String id, KnownState before, String request, Reply reply) {
        if (reply.status() == 503) {
            if (reply.retryAfterS() < 1) {
                violations.add(request + ": 503 without Retry-After");
            }
        } else if (reply.status() != 200 && reply.status() != 201) {
            if (before.progress() != Progress.NOTHING) {
                violations.add(request + ": " + reply.status() + " after " + before.progress());
            }
        } else {
            checkState(id, before, request, stateOf(reply));
        }
    }

    private void checkState(String id, KnownState before, String request, String state) {
        boolean terminal = state.equals("done") || state.equals("withdrawn");
        if (before.progress() == Progress.TERMINAL && !state.equals(before.terminalState())) {
            violations.add(request + ": " + state + " after " + before.terminalState());
        }
        if (state.equals("withdrawn") && !cancelRequested.contains(id)) {
            violations.add(request + ": withdrawn without a cancellation");
        }
        if (refused.contains(id)) {
            violations.add(request + ": a refused job exists");
        }
        progress.merge(
                id,
                terminal ? Progress.TERMINAL : Progress.ACCEPTED,
                (older, newer) -> older.compareTo(newer) > 0 ? older : newer);
        String other = terminal ? terminalStates.putIfAbsent(id, state) : null;
        if (other != null && !other.equals(state)) {
            violations.add(request + ": " + state + " after another answer said " + other);
        }
    }

    /** Returns the job's state in an answer, by its name in the protocol. */
    static String stateOf(Reply reply) {
        try {
            return String.valueOf(Cbor.readMap(reply.body()).get("mood"));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
