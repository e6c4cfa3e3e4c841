package org.yuccabank.command;

/** Entry point of the executable file. */
public final class Main {

    private Main() {}

    /**
     * Runs one command and exits with its code.
     *
     * @param arguments the command's name and its options
     */
    public static void main(String[] arguments) {
        CommandRunner runner = CommandRunner.of(Commands.all());
        System.exit(runner.run(arguments, System.out, System.err).number());
    }
}
