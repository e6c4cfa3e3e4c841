package org.yuccabank.command;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Selects a command by the arguments, parses its options and runs it. Thread-safe. */
final class CommandRunner {

    private final List<Command> commands;

    private CommandRunner(List<Command> commands) {
        this.commands = List.copyOf(commands);
    }

    /**
     * Creates a runner.
     *
     * @param commands all commands
     * @return the runner
     */
    static CommandRunner of(List<Command> commands) {
        return new CommandRunner(commands);
    }

    /**
     * Runs the command that the arguments select.
     *
     * @param arguments arguments of the process
     * @param output stream for results
     * @param errors stream for error messages
     * @return the exit code
     */
    ExitCode run(String[] arguments, PrintStream output, PrintStream errors) {
        if (arguments.length == 0 || arguments[0].equals("--help") || arguments[0].equals("help")) {
            output.print(overview());
            return arguments.length == 0 ? ExitCode.USAGE : ExitCode.SUCCESS;
        }
        Optional<Command> command = findCommand(arguments);
        if (command.isEmpty()) {
            errors.println("unknown command: " + arguments[0] + "; see yuccabank --help");
            return ExitCode.USAGE;
        }
        return run(command.get(), arguments, output, errors);
    }

    private static ExitCode run(
            Command command, String[] arguments, PrintStream output, PrintStream errors) {
        int nameLength = nameWords(command).length;
        String[] commandArguments = Arrays.copyOfRange(arguments, nameLength, arguments.length);
        if (List.of(commandArguments).contains("--help")) {
            output.print(help(command));
            return ExitCode.SUCCESS;
        }
        try {
            CommandLine line =
                    DefaultParser.builder().build().parse(command.options(), commandArguments);
            return command.run(line, output, errors);
        } catch (ParseException exception) {
            errors.println(
                    exception.getMessage() + "; see yuccabank " + command.name() + " --help");
            return ExitCode.USAGE;
        } catch (Exception exception) {
            errors.println("internal error: " + exception);
            exception.printStackTrace(errors);
            return ExitCode.INTERNAL;
        }
    }

    private Optional<Command> findCommand(String[] arguments) {
        return commands.stream()
                .filter(command -> startsWith(arguments, nameWords(command)))
                .max(Comparator.comparingInt(command -> nameWords(command).length));
    }

    private static boolean startsWith(String[] arguments, String[] words) {
        return arguments.length >= words.length
                && Arrays.equals(Arrays.copyOf(arguments, words.length), words);
    }

    private static String[] nameWords(Command command) {
        return command.name().split(" ", -1);
    }

    private String overview() {
        StringBuilder text = new StringBuilder("usage: yuccabank COMMAND [OPTIONS]\n\ncommands:\n");
        for (Command command : commands) {
            text.append(String.format("  %-16s %s%n", command.name(), command.summary()));
        }
        return text.append("\nyuccabank COMMAND --help shows options and examples.\n").toString();
    }

    private static String help(Command command) {
        StringBuilder text = new StringBuilder("usage: yuccabank ").append(command.name());
        text.append(" [OPTIONS] ").append(command.arguments()).append("\n\n");
        text.append(command.summary()).append("\n\noptions:\n");
        Options options = command.options();
        for (Option option : options.getOptions()) {
            String argument = option.hasArg() ? " " + option.getArgName() : "";
            String name = "--" + option.getLongOpt() + argument;
            text.append(String.format("  %-24s %s%n", name, option.getDescription()));
        }
        text.append("  --help                   Shows this help.\n\nexamples:\n");
        command.examples().forEach(example -> text.append("  ").append(example).append('\n'));
        return text.toString();
    }
}
