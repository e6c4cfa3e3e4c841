package org.yuccabank.result;

import java.util.Collection;
import java.util.Objects;
import java.util.Optional;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Suggests known names for misspelt ones by Levenshtein distance. Stateless and thread-safe. */
public final class NameSuggestion {

    private static final int MAXIMUM_DISTANCE = 4;

    private NameSuggestion() {}

    /**
     * Returns the known name with the smallest edit distance.
     *
     * @param name the unknown name
     * @param knownNames the known names
     * @return the closest known name, empty if none is similar
     */
    public static Optional<String> closest(String name, Collection<String> knownNames) {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(knownNames, "knownNames is null");
        int limit = Math.min(MAXIMUM_DISTANCE, Math.max(1, name.length() / 2));
        LevenshteinDistance distance = new LevenshteinDistance(limit);
        Optional<String> nearest = Optional.empty();
        int fewestEdits = limit + 1;
        for (String candidate : knownNames) {
            int edits = distance.apply(name, candidate);
            if (edits >= 0 && edits < fewestEdits && !candidate.isEmpty()) {
                fewestEdits = edits;
                nearest = Optional.of(candidate);
            }
        }
        return nearest;
    }

    /**
     * Returns a suggestion to append to a message.
     *
     * @param name the unknown name
     * @param knownNames the known names
     * @return a suggestion such as {@code ; did you mean 'share'?}, empty if no name is similar
     */
    public static String hint(String name, Collection<String> knownNames) {
        return closest(name, knownNames)
                .map(suggestion -> "; did you mean '" + suggestion + "'?")
                .orElse("");
    }
}
