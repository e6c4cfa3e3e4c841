package org.yuccabank.command;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Builds the options that several commands have in common. Thread-safe, as it has no state. */
final class CommandOptions {

    static final String JSON = "json";

    private CommandOptions() {}

    /** Only {@code --json}. */
    static Options json() {
        return new Options().addOption(flag(JSON, "Prints the result as one line of JSON."));
    }

    /** An option without a value. */
    static Option flag(String name, String description) {
        return Option.builder().longOpt(name).desc(description).get();
    }

    /** An option with a value. */
    static Option value(String name, String argument, String description) {
        return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
    }

    /** {@code --set KEY=VALUE}, which may be given several times. */
    static Option settingOverride() {
        return value("set", "KEY=VALUE", "Replaces a key of the settings file; repeatable.");
    }

    /** The values of {@code --set} in the order in which they are given. */
    static List<String> overrides(CommandLine line) {
        String[] values = line.getOptionValues("set");
        return values == null ? List.of() : List.of(values);
    }
}
