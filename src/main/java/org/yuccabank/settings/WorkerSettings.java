package org.yuccabank.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Optional;
import org.yuccabank.model.Resources;

/**
 * Settings of the worker role, the stand-in for the worker of the platform. Immutable.
 *
 * @param process settings that all roles share
 * @param httpAddress HTTP listen address for requests of the agent
 * @param agentAddress HTTP address of the agent, to which the target announces itself
 * @param capacity capacity of the host
 * @param service service of the target
 * @param slots requests that the target runs concurrently
 * @param connections maximum number of connections that the target accepts
 * @param loadFile load profile with the service times of the kinds
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
