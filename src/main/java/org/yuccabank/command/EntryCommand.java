package org.yuccabank.command;

import java.io.PrintStream;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.yuccabank.entry.CallerIdentification;
import org.yuccabank.entry.EntryService;
import org.yuccabank.result.Result;
import org.yuccabank.settings.EntrySettings;
import org.yuccabank.settings.Settings;

/** Runs an entry process. Thread-safe, as it has no state. */
final class EntryCommand implements Command {

    @Override
    public String name() {
        return "entry";
    }

    @Override
    public String summary() {
        return "Runs an entry process, the HTTP interface for callers and operators.";
    }

    @Override
    public String arguments() {
        return "SETTINGS";
    }

    @Override
    public Options options() {
        return new Options().addOption(CommandOptions.settings());
    }

    @Override
    public List<String> examples() {
        return List.of(
                "yuccabank entry /etc/yuccabank/entry.toml",
                "yuccabank entry --set process_id=entry-2 entry.toml");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output, PrintStream errors) {
        return RoleProcess.withSettingsFile(
                line,
                errors,
                file -> {
                    Result<EntrySettings> settings =
                            Settings.entry(file, CommandOptions.overrides(line));
                    return settings.fold(
                            findings -> RoleProcess.refuse(findings, errors), EntryCommand::run);
                });
    }

    private static ExitCode run(EntrySettings settings) {
        EntryService service =
                EntryService.of(
                                RoleConfigurations.entry(settings),
                                CallerIdentification.off(),
                                RoleConfigurations.security(settings.process()))
                        .start();
        return RoleProcess.runUntilStopped(service::stop);
    }
}
