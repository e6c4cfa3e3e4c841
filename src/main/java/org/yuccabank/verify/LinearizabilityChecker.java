package org.yuccabank.verify;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Decides whether a history of one object can be explained by an order of its operations in which
 * each takes effect at one moment between its invocation and its answer. Searches the orders depth
 * first and remembers which combinations of completed operations and value were tried.
 */
final class LinearizabilityChecker {

    /** Bounds the search; a history beyond it is reported as undecided. */
    private static final int MAXIMUM_STATES = 2_000_000;

    /** Result of a check. */
    enum Verdict {
        /** There is an order. */
        LINEARIZABLE,
        /** There is no order. */
        NOT_LINEARIZABLE,
        /** The search was too large. */
        UNDECIDED
    }

    private record State(int firstOpen, BitSet done, long value) {}

    private final List<History.Entry> entries;

    private LinearizabilityChecker(List<History.Entry> entries) {
        this.entries = new ArrayList<>(entries);
        this.entries.sort(Comparator.comparingLong(History.Entry::invokedMicros));
    }

    /** Checks the operations of one object whose first value is 0. */
    static Verdict check(List<History.Entry> entries) {
        return new LinearizabilityChecker(entries).search();
    }

    private Verdict search() {
        Set<State> seen = new HashSet<>();
        Deque<State> open = new ArrayDeque<>();
        open.push(new State(0, new BitSet(), 0));
        while (!open.isEmpty()) {
            State state = open.pop();
            if (isComplete(state)) {
                return Verdict.LINEARIZABLE;
            }
            if (seen.size() > MAXIMUM_STATES) {
                return Verdict.UNDECIDED;
            }
            if (seen.add(state)) {
                pushSuccessors(state, open);
            }
        }
        return Verdict.NOT_LINEARIZABLE;
    }

    private boolean isComplete(State state) {
        for (int index = state.firstOpen(); index < entries.size(); index++) {
            boolean answered = entries.get(index).answeredMicros() != History.UNANSWERED;
            if (answered && !state.done().get(index)) {
                return false;
            }
        }
        return true;
    }

    /** The next operation must be invoked before any other open operation was answered. */
    private void pushSuccessors(State state, Deque<State> open) {
        long earliestAnswer = History.UNANSWERED;
        for (int index = state.firstOpen(); index < entries.size(); index++) {
            History.Entry entry = entries.get(index);
            if (entry.invokedMicros() > earliestAnswer) {
                break;
            }
            if (!state.done().get(index)) {
                earliestAnswer = Math.min(earliestAnswer, entry.answeredMicros());
                pushSuccessor(state, index, open);
            }
        }
    }

    private void pushSuccessor(State state, int index, Deque<State> open) {
        History.Entry entry = entries.get(index);
        long value = valueAfter(entry.operation(), state.value());
        if (entry.answer() != null && entry.answer().value() != value) {
            return;
        }
        BitSet done = (BitSet) state.done().clone();
        done.set(index);
        open.push(new State(done.nextClearBit(state.firstOpen()), done, value));
    }

    private static long valueAfter(Operation operation, long value) {
        return switch (operation.kind()) {
            case INCREMENT -> value + 1;
            case WRITE -> operation.argument();
            default -> value;
        };
    }
}
