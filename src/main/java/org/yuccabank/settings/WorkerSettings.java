package org.yuccabank.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Optional;
import org.yuccabank.model.Resources;

/**
 * Settings of the role worker, the stand-in of the platform. Immutable.
 *
 * @param process settings that every role has
 * @param httpAddress where it listens for the agent
 * @param agentAddress HTTP address of the agent, to which the target announces itself
 * @param capacity capacity of the host
 * @param service service of the target
 * @param slots requests that the target runs at once
 * @param connections connections that the target accepts
 * @param loadFile service times of the kinds
 */
public record WorkerSettings(
        ProcessSettings process,
        InetSocketAddress httpAddress,
        InetSocketAddress agentAddress,
        Resources capacity,
        String service,
        int slots,
        int connections,
        Optional<Path> loadFile) {}
