package org.yuccabank.command;

import java.util.ArrayList;
import java.util.List;

/** Registry of the commands of the executable, in help order. */
final class Commands {

    private static final List<Command> ALL = commands();

    private Commands() {}

    /**
     * Returns all commands.
     *
     * @return the commands
     */
    static List<Command> all() {
        return ALL;
    }

    private static List<Command> commands() {
        List<Command> commands = new ArrayList<>();
        commands.add(new ControlCommand());
        commands.add(new EntryCommand());
        commands.add(new AgentCommand());
        commands.add(new WorkerCommand());
        commands.add(new LocalCommand());
        commands.add(new BenchScaleCommand());
        commands.add(new BenchPolicyCommand());
        commands.add(new BenchRoutingCommand());
        commands.add(new BenchQuotaCommand());
        commands.add(new VerifyCommand());
        commands.add(new RulesCheckCommand());
        commands.add(new RulesDiffCommand());
        commands.addAll(OperatorCommands.all());
        commands.add(new ExplainCommand());
        commands.add(new SettingsCheckCommand());
        commands.add(new VersionCommand());
        return List.copyOf(commands);
    }
}
