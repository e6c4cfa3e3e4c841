package org.yuccabank.command;

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
}
