package org.yuccabank.result;

import java.util.Collection;
import java.util.Objects;
import java.util.Optional;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Finds the known name that a misspelt one most likely means. Thread-safe, as it has no state. */
public final class NameSuggestion {

    private static final int MAXIMUM_DISTANCE = 4;

    private NameSuggestion() {}

    /**
     * Finds the known name with the fewest edits.
     *
     * @param name the name that is not known
     * @param known the known names
     * @return the nearest known name, empty if none is similar
     */
    public static Optional<String> closest(String name, Collection<String> known) {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(known, "known is null");
        int limit = Math.min(MAXIMUM_DISTANCE, Math.max(1, name.length() / 2));
        LevenshteinDistance distance = new LevenshteinDistance(limit);
        Optional<String> nearest = Optional.empty();
        int fewestEdits = limit + 1;
        for (String candidate : known) {
            int edits = distance.apply(name, candidate);
            if (edits >= 0 && edits < fewestEdits && !candidate.isEmpty()) {
                fewestEdits = edits;
                nearest = Optional.of(candidate);
            }
        }
        return nearest;
    }

    /**
     * Hint for the end of a message.
     *
     * @param name the name that is not known
     * @param known the known names
     * @return a hint such as {@code ; did you mean 'share'?}, empty if none is similar
     */
    public static String hint(String name, Collection<String> known) {
        return closest(name, known)
                .map(suggestion -> "; did you mean '" + suggestion + "'?")
                .orElse("");
    }
}
