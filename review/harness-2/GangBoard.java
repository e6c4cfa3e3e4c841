import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What the members of a gang know of each other, across minions. Thread-safe. */
final class GangBoard {

    private final Map<String, Set<String>> present = new HashMap<>();
    private final Set<String> complete = new HashSet<>();
    private final Set<String> broken = new HashSet<>();

    /** Returns the key of a run of a gang, whose members share the attempt. */
    private static String key(String task, int attempt) {
        return task.substring(0, task.lastIndexOf('.')) + "/" + attempt;
    }

    synchronized void join(String task, int attempt) {
        present.computeIfAbsent(key(task, attempt), absent -> new HashSet<>()).add(task);
    }

    /** Records that a member has ended otherwise than done. */
    synchronized void leave(String task, int attempt) {
        String key = key(task, attempt);
        if (present.getOrDefault(key, new HashSet<>()).remove(task) && complete.contains(key)) {
            broken.add(key);
        }
    }

    /** Returns whether all members have been present at the same time. */
    synchronized boolean isComplete(String task, int attempt, int size) {
        String key = key(task, attempt);
        if (present.getOrDefault(key, Set.of()).size() >= size) {
            complete.add(key);
        }
        return complete.contains(key);
    }

    /** Returns whether a complete gang has lost a member before it was done. */
    synchronized boolean isBroken(String task, int attempt) {
        return broken.contains(key(task, attempt));
    }
}
