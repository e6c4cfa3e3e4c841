package org.yuccabank.settings;

import java.util.Arrays;
import java.util.Optional;

/** Roles of a process that read settings. */
public enum ProcessRole {
    /** Replicates the state and decides. */
    CONTROL("control"),
    /** Serves callers and operators. */
    ENTRY("entry"),
    /** Runs beside a target. */
    AGENT("agent"),
    /** Stand-in of the platform's worker. */
    WORKER("worker");

    private final String label;

    ProcessRole(String label) {
        this.label = label;
    }

    /**
     * Name on the command line and of the role's section.
     *
     * @return the name
     */
    public String label() {
        return label;
    }

    /**
     * Finds a role by its name.
     *
     * @param label the name
     * @return the role, empty if there is none of that name
     */
    public static Optional<ProcessRole> find(String label) {
        return Arrays.stream(values()).filter(role -> role.label.equals(label)).findFirst();
    }
}
