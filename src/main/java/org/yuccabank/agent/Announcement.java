package org.yuccabank.agent;

import java.util.List;

/**
 * Self-description of the target. Immutable.
 *
 * @param targetId identifier of the target
 * @param service service that it belongs to
 * @param kinds request kinds that it serves, empty for all
 * @param slots maximum number of requests that run concurrently
 * @param connections maximum number of running and queued requests
 */
record Announcement(
        String targetId, String service, List<String> kinds, int slots, int connections) {}
