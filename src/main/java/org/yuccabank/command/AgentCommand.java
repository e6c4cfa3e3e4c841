package org.yuccabank.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.yuccabank.agent.AgentConfiguration;
import org.yuccabank.agent.AgentService;
import org.yuccabank.result.Result;
import org.yuccabank.settings.AgentSettings;
import org.yuccabank.settings.ProcessSettings;
import org.yuccabank.settings.Settings;

/** Runs the agent of a target. Stateless and thread-safe. */
final class AgentCommand implements Command {

    @Override
    public String name() {
        return "agent";
    }

    @Override
    public String summary() {
        return "Runs the agent of a target on the same host.";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommandOptions.value("settings", "FILE", "Settings of the agent."))
                .addOption(CommandOptions.settingOverrideOption());
    }

    @Override
    public List<String> examples() {
        return List.of(
                "yuccabank agent --settings /etc/yuccabank/agent.toml",
                "yuccabank agent --settings agent.toml --set process_id=agent-7"
                        + " --set host_id=host-7");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output, PrintStream errors)
            throws ParseException {
        String file = line.getOptionValue("settings");
        if (file == null) {
            throw new ParseException("--settings FILE is required");
        }
        Result<AgentSettings> settings =
                Settings.agent(Path.of(file), CommandOptions.overrides(line));
        Result<AgentService> service =
                settings.flatMap(
                        valid ->
                                RoleConfigurations.security(valid.process())
                                        .map(
                                                security ->
                                                        AgentService.start(
                                                                configuration(valid), security)));
        return service.fold(
                findings -> RoleProcess.reportFindings(findings, errors),
                started -> RoleProcess.runUntilStopped(started::stop));
    }

    private static AgentConfiguration configuration(AgentSettings settings) {
        ProcessSettings process = settings.process();
        return new AgentConfiguration(
                process.processId(),
                process.hostId().value(),
                process.dataCentre(),
                process.rack(),
                settings.protocolAddress(),
                settings.administrationAddress(),
                settings.httpAddress(),
                settings.workerAddress(),
                settings.controlAddresses(),
                new AgentConfiguration.Limits(
                        settings.reportInterval().toMillis(),
                        settings.configurationLease().toMillis(),
                        settings.clockDriftPercent(),
                        true,
                        process.drainTimeout().map(Duration::toMillis).orElse(0L)));
    }
}
