package org.yuccabank.command;

/** Exit codes of the executable; they are documented in {@code docs/commands.md} and stable. */
public enum ExitCode {
    /** The command did what was asked. */
    SUCCESS(0),
    /** The input was invalid or the operation was refused; the message says why. */
    REFUSED(1),
    /** The command line was wrong. */
    USAGE(2),
    /** The system could not be reached or has no leader; trying again may help. */
    UNAVAILABLE(3),
    /** A role stopped with work still in progress when its drain time ended. */
    DRAIN_TIMEOUT(4),
    /** An unexpected fault of the program. */
    INTERNAL(70);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /**
     * Number given to the operating system.
     *
     * @return the exit code
     */
    public int number() {
        return number;
    }
}
