package org.yuccabank.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.yuccabank.control.ControlService;
import org.yuccabank.protocol.PeerSecurity;
import org.yuccabank.result.Result;
import org.yuccabank.settings.ControlSettings;
import org.yuccabank.settings.Settings;

/** Runs a control process. Stateless and thread-safe. */
final class ControlCommand implements Command {

    @Override
    public String name() {
        return "control";
    }

    @Override
    public String summary() {
        return "Runs a control process, which stores the replicated log on disk.";
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
                "yuccabank control --settings /etc/yuccabank/control.toml",
                "yuccabank control --settings control.toml --set process_id=control-2"
                        + " --set group.replica_id=control-2");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output, PrintStream errors) {
        return RoleProcess.withSettingsFile(
                line,
                errors,
                file -> {
                    Result<ControlService> service = start(file, CommandOptions.overrides(line));
                    return service.fold(
                            findings -> RoleProcess.reportFindings(findings, errors),
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
                        RoleConfigurations.security(valid.process())
                                .flatMap(security -> start(valid, security)));
    }

    private static Result<ControlService> start(ControlSettings settings, PeerSecurity security) {
        return ControlService.of(
                        RoleConfigurations.control(settings),
                        RoleConfigurations.placement(),
                        security)
                .start();
    }
}
