package org.yuccabank.command;

import java.io.PrintStream;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.yuccabank.entry.EntryService;
import org.yuccabank.result.Result;
import org.yuccabank.settings.EntrySettings;
import org.yuccabank.settings.Settings;

/** Runs an entry process. Stateless and thread-safe. */
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
        return "";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(RoleProcess.settingsFileOption())
                .addOption(CommandOptions.settingOverrideOption());
    }

    @Override
    public List<String> examples() {
        return List.of(
                "yuccabank entry --settings /etc/yuccabank/entry.toml",
                "yuccabank entry --settings entry.toml --set process_id=entry-2");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output, PrintStream errors) {
        return RoleProcess.withSettingsFile(
                line,
                errors,
                file -> {
                    Result<EntryService> service =
                            Settings.entry(file, CommandOptions.overrides(line))
                                    .flatMap(EntryCommand::create);
                    return service.fold(
                            findings -> RoleProcess.reportFindings(findings, errors),
                            created -> RoleProcess.runUntilStopped(created.start()::stop));
                });
    }

    private static Result<EntryService> create(EntrySettings settings) {
        return RoleConfigurations.security(settings.process())
                .flatMap(
                        security ->
                                RoleConfigurations.authenticator(settings)
                                        .map(
                                                authenticator ->
                                                        EntryService.of(
                                                                RoleConfigurations.entry(settings),
                                                                authenticator,
                                                                security)));
    }
}
