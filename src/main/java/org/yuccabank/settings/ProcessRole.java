package org.yuccabank.settings;

import java.util.Arrays;
import java.util.Optional;

/** Roles of a process. Each role has its own settings file. */
public enum ProcessRole {
    /** Replicates the state and makes scheduling decisions. */
    CONTROL("control"),
    /** Serves HTTP requests of callers and operators. */
    ENTRY("entry"),
    /** Represents a target and runs on the same host. */
    AGENT("agent"),
    /** Stand-in for the worker of the platform. */
    WORKER("worker");

    private final String label;

    ProcessRole(String label) {
        this.label = label;
    }

    /**
     * Returns the name of the role, used on the command line and as the name of its section in
     * settings files.
     *
     * @return the name
     */
    public String label() {
        return label;
    }

    /**
     * Finds a role by name.
     *
     * @param label the name
     * @return the role, empty if the name is unknown
     */
    public static Optional<ProcessRole> find(String label) {
        return Arrays.stream(values()).filter(role -> role.label.equals(label)).findFirst();
    }
}
