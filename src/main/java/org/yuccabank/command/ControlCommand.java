package org.yuccabank.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.yuccabank.control.ControlService;
import org.yuccabank.result.Result;
import org.yuccabank.settings.ControlSettings;
import org.yuccabank.settings.Settings;

/** Runs a control process. Thread-safe, as it has no state. */
final class ControlCommand implements Command {

    @Override
    public String name() {
        return "control";
    }

    @Override
    public String summary() {
        return "Runs a control process on a host with a disk.";
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
                "yuccabank control /etc/yuccabank/control.toml",
                "yuccabank control --set process_id=control-2 --set group.replica_id=control-2"
                        + " control.toml");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output, PrintStream errors) {
        return RoleProcess.withSettingsFile(
                line,
                errors,
                file -> {
                    Result<ControlService> service = start(file, CommandOptions.overrides(line));
                    return service.fold(
                            findings -> RoleProcess.refuse(findings, errors),
                            started ->
                                    RoleProcess.runUntilStopped(
                                            () -> {
                                                started.stop();
                                                return true;
                                            }));
                });
    }

    private static Result<ControlService> start(Path file, List<String> overrides) {
        Result<ControlSettings> settings = Settings.control(file, overrides);
        return settings.flatMap(
                valid ->
                        ControlService.of(
                                        RoleConfigurations.control(valid),
                                        RoleConfigurations.placement(),
                                        RoleConfigurations.security(valid.process()))
                                .start());
    }
}
