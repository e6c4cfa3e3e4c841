package org.yuccabank.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.yuccabank.result.Result;
import org.yuccabank.settings.ProcessRole;
import org.yuccabank.settings.Settings;

/** Validates a settings file without starting the role. Stateless and thread-safe. */
final class SettingsCheckCommand implements Command {

    @Override
    public String name() {
        return "settings check";
    }

    @Override
    public String summary() {
        return "Validates the settings file of a process and prints all errors with their"
                + " positions.";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public Options options() {
        return CommandOptions.json()
                .addOption(
                        CommandOptions.value(
                                "role", "ROLE", "Role: control, entry, agent or worker."))
                .addOption(CommandOptions.settingOverrideOption());
    }

    @Override
    public List<String> examples() {
        return List.of(
                "yuccabank settings check --role entry /etc/yuccabank/entry.toml",
                "yuccabank settings check --role agent --set process_id=agent-2 agent.toml");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output, PrintStream errors)
            throws ParseException {
        Optional<ProcessRole> role =
                Optional.ofNullable(line.getOptionValue("role")).flatMap(ProcessRole::find);
        if (role.isEmpty() || line.getArgList().size() != 1) {
            throw new ParseException("--role control|entry|agent|worker and one file are required");
        }
        String file = line.getArgList().get(0);
        List<String> overrides = CommandOptions.overrides(line);
        Result<? extends Record> settings = Settings.of(role.get(), Path.of(file), overrides);
        if (line.hasOption(CommandOptions.JSON)) {
            ObjectNode node = CommandJson.object().put("file", file);
            node.put("valid", settings.isSuccess());
            node.set("findings", CommandJson.findings(settings.findings()));
            output.println(CommandJson.serialize(node));
        } else {
            output.println(settings.isSuccess() ? file + ": valid" : settings.findings());
        }
        return settings.isSuccess() ? ExitCode.SUCCESS : ExitCode.REFUSED;
    }
}
