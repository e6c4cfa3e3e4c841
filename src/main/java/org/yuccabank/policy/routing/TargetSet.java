package org.yuccabank.policy.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.yuccabank.model.TargetId;

/** A set of targets with constant-time random selection. Mutable; not thread-safe. */
final class TargetSet {

    private static final int MAXIMUM_DRAWS = 3;

    private final List<TargetView> members = new ArrayList<>();
    private final Map<TargetId, Integer> indexByTarget = new HashMap<>();

    void add(TargetView view) {
        if (indexByTarget.putIfAbsent(view.target(), members.size()) == null) {
            members.add(view);
        }
    }

    void remove(TargetView view) {
        Integer index = indexByTarget.remove(view.target());
        if (index == null) {
            return;
        }
        TargetView last = members.remove(members.size() - 1);
        if (last != view) {
            members.set(index, last);
            indexByTarget.put(last.target(), index);
        }
    }

    int size() {
        return members.size();
    }

    boolean isEmpty() {
        return members.isEmpty();
    }

    List<TargetView> members() {
        return members;
    }

    /** Returns a random member that was not tried, or null if a few draws find none. */
    TargetView drawUntried(Set<TargetId> tried, RandomGenerator random) {
        for (int draw = 0; draw < MAXIMUM_DRAWS && !members.isEmpty(); draw++) {
            TargetView view = members.get(random.nextInt(members.size()));
            if (!tried.contains(view.target())) {
                return view;
            }
        }
        return null;
    }

    /** Returns the first untried member from a random position on, or null if there is none. */
    TargetView firstUntried(Set<TargetId> tried, RandomGenerator random) {
        int start = members.isEmpty() ? 0 : random.nextInt(members.size());
        for (int step = 0; step < members.size(); step++) {
            TargetView view = members.get((start + step) % members.size());
            if (!tried.contains(view.target())) {
                return view;
            }
        }
        return null;
    }
}
