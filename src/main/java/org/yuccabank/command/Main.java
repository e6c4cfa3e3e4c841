package org.yuccabank.command;

/** Entry point of the executable. */
public final class Main {

    private Main() {}

    /**
     * Runs one command and exits with its exit code.
     *
     * @param arguments name, options and positional arguments of the command
     */
    public static void main(String[] arguments) {
        CommandRunner runner = CommandRunner.of(Commands.all());
        System.exit(runner.run(arguments, System.out, System.err).number());
    }
}
