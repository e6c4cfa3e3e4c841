package org.yuccabank.control;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.yuccabank.protocol.generated.DirectoryRequest;

/** The entries that asked this leader for the directory. Confined to the thread of the replica. */
final class EntryRegistry {

    /** An entry that has not asked for this long is not shown any more. */
    private static final long EXPIRY_MILLIS = 60_000;

    private final Map<String, KnownEntry> entries = new LinkedHashMap<>();

    /**
     * An entry process.
     *
     * @param processId its identifier
     * @param dataCentre its data centre
     * @param configurationVersion version that it says is in force there
     * @param lastSeenMillis time of its newest request
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
