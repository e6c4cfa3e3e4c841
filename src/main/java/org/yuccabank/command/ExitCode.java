package org.yuccabank.command;

/** Exit codes of the executable, documented in {@code docs/commands.md}. The codes are stable. */
public enum ExitCode {
    /** The command succeeded. */
    SUCCESS(0),
    /** The input was not valid or the operation was refused; the error output has the reason. */
    REFUSED(1),
    /** The command line was not valid. */
    USAGE(2),
    /** The system was unreachable or had no leader; a retry may succeed. */
    UNAVAILABLE(3),
    /** A role stopped at its drain timeout with work still in progress. */
    DRAIN_TIMEOUT(4),
    /** An unexpected internal error. */
    INTERNAL(70);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /**
     * Returns the exit status of the process.
     *
     * @return the exit status
     */
    public int number() {
        return number;
    }
}
