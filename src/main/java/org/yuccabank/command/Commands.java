package org.yuccabank.command;

import java.util.List;

/** The commands of the executable, in the order in which the help lists them. */
final class Commands {

    private static final List<Command> ALL =
            List.of(
                    new ControlCommand(),
                    new EntryCommand(),
                    new AgentCommand(),
                    new WorkerCommand(),
                    new LocalCommand(),
                    new BenchScaleCommand(),
                    new RulesCheckCommand(),
                    new RulesDiffCommand(),
                    new SettingsCheckCommand(),
                    new VerifyCommand(),
                    new VersionCommand());

    private Commands() {}

    /**
     * All commands.
     *
     * @return the commands
     */
    static List<Command> all() {
        return ALL;
    }
}
