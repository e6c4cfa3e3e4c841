package org.yuccabank.agent;

import java.util.List;

/**
 * What the target says about itself. Immutable.
 *
 * @param targetId identifier of the target
 * @param service service that it belongs to
 * @param kinds kinds of requests that it serves, empty for all
 * @param slots requests that it runs at one time
 * @param connections requests that it may hold, running and waiting
 */
record Announcement(
        String targetId, String service, List<String> kinds, int slots, int connections) {}
