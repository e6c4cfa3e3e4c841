package org.yuccabank.control;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.yuccabank.protocol.generated.DirectoryRequest;

/**
 * Registry of the entries that have requested the directory from this leader. Confined to the
 * replica thread.
 */
final class EntryRegistry {

    /** An entry without a request for this long is removed. */
    private static final long EXPIRY_MILLIS = 60_000;

    private final Map<String, KnownEntry> entries = new LinkedHashMap<>();

    /**
     * An entry process.
     *
     * @param processId its identifier
     * @param dataCentre its data centre
     * @param configurationVersion configuration version that it reports as in force
     * @param lastSeenMillis time of its latest request
     */
    record KnownEntry(
            String processId, String dataCentre, long configurationVersion, long lastSeenMillis) {}

    void update(DirectoryRequest request, long nowMillis) {
        entries.put(
                request.getProcessId(),
                new KnownEntry(
                        request.getProcessId(),
                        request.getDataCentre(),
                        request.getKnownConfiguration(),
                        nowMillis));
        entries.values().removeIf(entry -> nowMillis - entry.lastSeenMillis() > EXPIRY_MILLIS);
    }

    Collection<KnownEntry> all() {
        return Collections.unmodifiableCollection(entries.values());
    }

    void clear() {
        entries.clear();
    }
}
