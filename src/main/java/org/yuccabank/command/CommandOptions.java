package org.yuccabank.command;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Builds options that several commands share. Stateless and thread-safe. */
final class CommandOptions {

    static final String JSON = "json";

    private CommandOptions() {}

    /** Returns options that contain only {@code --json}. */
    static Options json() {
        return new Options().addOption(flag(JSON, "Prints the result as one line of JSON."));
    }

    /** Creates an option without a value. */
    static Option flag(String name, String description) {
        return Option.builder().longOpt(name).desc(description).get();
    }

    /** Creates an option with a value. */
    static Option value(String name, String argument, String description) {
        return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
    }

    /** Creates the option {@code --set KEY=VALUE}, which is repeatable. */
    static Option settingOverrideOption() {
        return value("set", "KEY=VALUE", "Overrides a key of the settings file; repeatable.");
    }

    /** Returns the values of {@code --set} in command line order. */
    static List<String> overrides(CommandLine line) {
        String[] values = line.getOptionValues("set");
        return values == null ? List.of() : List.of(values);
    }
}
