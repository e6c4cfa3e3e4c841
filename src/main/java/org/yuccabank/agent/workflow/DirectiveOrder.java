package org.yuccabank.agent.workflow;

import org.yuccabank.model.FencingToken;
import org.yuccabank.protocol.generated.WorkerDirectives;
import org.yuccabank.protocol.generated.WorkerReport;

/**
 * The newest directives that this agent process has received.
 *
 * <p>Invariant: directives that newer ones have overtaken are not applied. They arrive late on a
 * connection that was cut while the agent used another one, and may start a run that the leader has
 * ended since. Confined to the agent's event loop.
 */
final class DirectiveOrder {

    private long term;
    private long number;
    private long fencingToken;

    /** Returns the newest term of a leader, 0 if unknown. */
    long term() {
        return term;
    }

    /** Returns the highest fencing token of the leader, as raised by this process since. */
    long fencingToken() {
        return fencingToken;
    }

    /** Raises the fencing token after interruptions; without effect before the first one. */
    void raiseFencingToken(long interruptions) {
        fencingToken = fencingToken == 0 ? 0 : FencingToken.raise(fencingToken, interruptions);
    }

    /** Returns the newest number of the term, 0 if the leader does not number its directives. */
    long number() {
        return number;
    }

    /**
     * Records received directives.
     *
     * @return false if they are older than the newest ones
     */
    boolean advance(WorkerDirectives directives) {
        boolean unnumbered = directives.getNumber() == 0;
        if (directives.getTerm() < term
                || (directives.getTerm() == term
                        && !unnumbered
                        && directives.getNumber() <= number)) {
            return false;
        }
        number = directives.getTerm() > term ? directives.getNumber() : maximum(directives);
        term = directives.getTerm();
        // Leaders of earlier releases send no token; theirs is the term.
        fencingToken = Math.max(fencingToken, Math.max(term, directives.getFencingToken()));
        return true;
    }

    private long maximum(WorkerDirectives directives) {
        return Math.max(number, directives.getNumber());
    }

    /**
     * Returns whether a leader that is not known to be replaced has answered a report for the same
     * incarnation of the worker. The leader counts a lease only for the incarnation that it knows.
     */
    boolean isAnswer(WorkerDirectives directives, WorkerReport report) {
        return directives.getTerm() >= term && directives.getWorker().equals(report.getWorker());
    }
}
