package org.yuccabank.command;

import java.io.PrintStream;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.yuccabank.agent.AgentConfiguration;
import org.yuccabank.agent.AgentService;
import org.yuccabank.protocol.PeerSecurity;

/** Runs the agent beside a target. */
final class AgentCommand implements Command {

    @Override
    public String name() {
        return "agent";
    }

    @Override
    public String summary() {
        return "Runs the agent beside a target.";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(required("host", "ID", "Identifier of this host."))
                .addOption(required("control", "LIST", "Addresses of control, by commas."))
                .addOption(required("worker", "ADDRESS", "Worker interface of the platform."))
                .addOption(required("listen", "ADDRESS", "Address for the inner protocol."))
                .addOption(required("announcements", "ADDRESS", "Loopback address for targets."))
                .addOption(required("administration", "ADDRESS", "Address of metrics."))
                .addOption(optional("data-centre", "NAME", "Data centre of this host."))
                .addOption(optional("rack", "NAME", "Rack of this host."));
    }

    private static Option required(String name, String argument, String description) {
        return option(name, argument, description).required().get();
    }

    private static Option optional(String name, String argument, String description) {
        return option(name, argument, description).get();
    }

    private static Option.Builder option(String name, String argument, String description) {
        return Option.builder().longOpt(name).hasArg().argName(argument).desc(description);
    }

    @Override
    public List<String> examples() {
        return List.of(
                "yuccabank agent --host host-1 --control 127.0.0.1:7101 --worker 127.0.0.1:7301"
                        + " --listen 127.0.0.1:7201 --announcements 127.0.0.1:7202"
                        + " --administration 127.0.0.1:7203 --data-centre dc-1 --rack rack-1");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output, PrintStream errors)
            throws ParseException {
        AgentConfiguration configuration =
                new AgentConfiguration(
                        line.getOptionValue("host"),
                        line.getOptionValue("data-centre", "dc-1"),
                        line.getOptionValue("rack", "rack-1"),
                        Addresses.parse(line.getOptionValue("listen")),
                        Addresses.parse(line.getOptionValue("administration")),
                        Addresses.parse(line.getOptionValue("announcements")),
                        Addresses.parse(line.getOptionValue("worker")),
                        Addresses.parseList(line.getOptionValue("control")),
                        AgentConfiguration.Limits.standard());
        AgentService service = AgentService.start(configuration, PeerSecurity.off());
        return RoleProcess.runUntilStopped(service::stop);
    }
}
