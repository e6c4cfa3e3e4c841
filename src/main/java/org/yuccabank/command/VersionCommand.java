package org.yuccabank.command;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Prints the version. Stateless and thread-safe. */
final class VersionCommand implements Command {

    @Override
    public String name() {
        return "version";
    }

    @Override
    public String summary() {
        return "Prints the version.";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public List<String> examples() {
        return List.of("yuccabank version");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output, PrintStream errors) {
        output.println("yuccabank " + version());
        return ExitCode.SUCCESS;
    }

    static String version() {
        return Optional.ofNullable(VersionCommand.class.getPackage().getImplementationVersion())
                .orElse("development");
    }
}
