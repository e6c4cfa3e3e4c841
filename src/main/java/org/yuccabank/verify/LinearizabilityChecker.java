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
 * Decides whether the history of one object is linearizable: whether its operations can be ordered
 * such that each takes effect at one point between its invocation and its completion. Searches the
 * orders depth first and memoizes the visited combinations of completed operations and value.
 */
final class LinearizabilityChecker {

    /** Maximum number of visited states, after which the history is reported as undecided. */
    private static final int MAXIMUM_STATES = 2_000_000;

    /** Verdict about a history. */
    enum Verdict {
        /** A valid order exists. */
        LINEARIZABLE,
        /** No valid order exists. */
        NOT_LINEARIZABLE,
        /** The search exceeded its state limit. */
        UNDECIDED
    }

    private record State(int firstPending, BitSet completed, long value) {}

    private final List<History.Entry> entries;

    private LinearizabilityChecker(List<History.Entry> entries) {
        this.entries = new ArrayList<>(entries);
        this.entries.sort(Comparator.comparingLong(History.Entry::invokedMicros));
    }

    /** Checks the operations of one object whose initial value is 0. */
    static Verdict check(List<History.Entry> entries) {
        return new LinearizabilityChecker(entries).search();
    }

    private Verdict search() {
        Set<State> visited = new HashSet<>();
        Deque<State> stack = new ArrayDeque<>();
        stack.push(new State(0, new BitSet(), 0));
        while (!stack.isEmpty()) {
            State state = stack.pop();
            if (isComplete(state)) {
                return Verdict.LINEARIZABLE;
            }
            if (visited.size() > MAXIMUM_STATES) {
                return Verdict.UNDECIDED;
            }
            if (visited.add(state)) {
                pushSuccessors(state, stack);
            }
        }
        return Verdict.NOT_LINEARIZABLE;
    }

    private boolean isComplete(State state) {
        for (int index = state.firstPending(); index < entries.size(); index++) {
            boolean returned = entries.get(index).completedMicros() != History.NEVER_COMPLETED;
            if (returned && !state.completed().get(index)) {
                return false;
            }
        }
        return true;
    }

    /** Pushes each pending operation that was invoked before any pending one had completed. */
    private void pushSuccessors(State state, Deque<State> stack) {
        long earliestCompletion = History.NEVER_COMPLETED;
        for (int index = state.firstPending(); index < entries.size(); index++) {
            History.Entry entry = entries.get(index);
            if (entry.invokedMicros() > earliestCompletion) {
                break;
            }
            if (!state.completed().get(index)) {
                earliestCompletion = Math.min(earliestCompletion, entry.completedMicros());
                pushSuccessor(state, index, stack);
            }
        }
    }

    private void pushSuccessor(State state, int index, Deque<State> stack) {
        History.Entry entry = entries.get(index);
        long value = valueAfter(entry.operation(), state.value());
        if (entry.result() != null && entry.result().value() != value) {
            return;
        }
        BitSet completed = (BitSet) state.completed().clone();
        completed.set(index);
        stack.push(new State(completed.nextClearBit(state.firstPending()), completed, value));
    }

    private static long valueAfter(Operation operation, long value) {
        return switch (operation.kind()) {
            case INCREMENT -> value + 1;
            case WRITE -> operation.argument();
            default -> value;
        };
    }
}
