package org.yuccabank.local;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.yuccabank.agent.AgentConfiguration;
import org.yuccabank.agent.AgentService;
import org.yuccabank.control.ControlConfiguration;
import org.yuccabank.control.ControlService;
import org.yuccabank.entry.EntryConfiguration;
import org.yuccabank.entry.EntryService;
import org.yuccabank.entry.RequestAuthenticator;
import org.yuccabank.policy.placement.PlacementPolicy;
import org.yuccabank.protocol.PeerSecurity;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaTiming;
import org.yuccabank.standin.CheckpointStore;
import org.yuccabank.standin.StandInConfiguration;
import org.yuccabank.standin.StandInServer;

/**
 * All roles of a deployment in one process on loopback, with stand-in workers. Not thread-safe:
 * start and stop are called by one thread.
 */
public final class LocalDeployment {

    private static final int CONTROL_PROCESSES = 3;
    private static final long LEASE_MILLIS = 10_000;
    private static final long CONFIGURATION_LEASE_MILLIS = 3_000;
    private static final double CLOCK_DRIFT_FRACTION = 0.1;
    private static final int RETRY_BUDGET_PERCENT = 10;

    private final LoadProfile profile;
    private final Path directory;
    private final Supplier<PlacementPolicy> placement;
    private final CheckpointStore checkpoints = CheckpointStore.empty();
    private final List<ControlService> controls = new ArrayList<>();
    private final List<EntryService> entries = new ArrayList<>();
    private final List<AgentService> agents = new ArrayList<>();
    private final List<StandInServer> workers = new ArrayList<>();

    private LocalDeployment(
            LoadProfile profile, Path directory, Supplier<PlacementPolicy> placement) {
        this.profile = profile;
        this.directory = directory;
        this.placement = placement;
    }

    /**
     * Creates a deployment that is not started.
     *
     * @param profile its size
     * @param directory directory for the state of the control processes
     * @param placement makes the placement policy of each control process
     * @return the deployment
     */
    public static LocalDeployment of(
            LoadProfile profile, Path directory, Supplier<PlacementPolicy> placement) {
        return new LocalDeployment(profile, directory, placement);
    }

    /** Starts control processes, entries, workers and agents. */
    public void start() {
        List<InetSocketAddress> controlAddresses = new ArrayList<>();
        List<ReplicaMember> members = new ArrayList<>();
        for (int index = 0; index < CONTROL_PROCESSES; index++) {
            InetSocketAddress address = freeAddress();
            controlAddresses.add(address);
            members.add(ReplicaMember.voter("control-" + (index + 1), hostAndPort(address)));
        }
        for (int index = 0; index < CONTROL_PROCESSES; index++) {
            startControl(index, controlAddresses.get(index), members);
        }
        for (int index = 0; index < profile.hosts(); index++) {
            startHost(index, controlAddresses);
        }
        for (int index = 0; index < profile.entries(); index++) {
            startEntry(index, controlAddresses);
        }
    }

    private void startControl(int index, InetSocketAddress address, List<ReplicaMember> members) {
        String name = "control-" + (index + 1);
        ControlConfiguration configuration =
                new ControlConfiguration(
                        name,
                        dataCentre(index),
                        "cell",
                        name,
                        members,
                        directory.resolve(name),
                        address,
                        loopbackAddress(0),
                        LEASE_MILLIS,
                        CLOCK_DRIFT_FRACTION,
                        ReplicaTiming.defaults());
        controls.add(
                ControlService.of(configuration, placement.get(), PeerSecurity.plaintext())
                        .start()
                        .get());
    }

    private void startHost(int index, List<InetSocketAddress> controlAddresses) {
        InetSocketAddress workerAddress = freeAddress();
        AgentConfiguration configuration =
                new AgentConfiguration(
                        "agent-" + (index + 1),
                        "host-" + (index + 1),
                        dataCentre(index),
                        "rack-" + (index / profile.hostsPerRack() + 1),
                        loopbackAddress(0),
                        loopbackAddress(0),
                        loopbackAddress(0),
                        workerAddress,
                        controlAddresses,
                        AgentConfiguration.Limits.defaults());
        AgentService agent = AgentService.start(configuration, PeerSecurity.plaintext());
        agents.add(agent);
        StandInConfiguration worker =
                StandInConfiguration.withDefaults(
                                profile.service() + "-" + (index + 1),
                                profile.service(),
                                profile.servedKinds(),
                                workerAddress,
                                Optional.of(agent.announcementAddress()))
                        .withCapacity(profile.capacity(), profile.serviceReservation())
                        .withTimes(profile.serveMillis(), profile.slowdowns(), index + 1L);
        workers.add(StandInServer.start(worker, checkpoints));
    }

    private void startEntry(int index, List<InetSocketAddress> controlAddresses) {
        EntryConfiguration configuration =
                new EntryConfiguration(
                        "entry-" + (index + 1),
                        dataCentre(index),
                        loopbackAddress(0),
                        loopbackAddress(0),
                        controlAddresses,
                        CONFIGURATION_LEASE_MILLIS,
                        true,
                        RETRY_BUDGET_PERCENT,
                        0);
        entries.add(
                EntryService.of(
                                configuration,
                                RequestAuthenticator.trustingAccountHeader(),
                                PeerSecurity.plaintext())
                        .start());
    }

    private String dataCentre(int index) {
        return profile.dataCentres().get(index % profile.dataCentres().size());
    }

    /**
     * Addresses of the entries for callers.
     *
     * @return the addresses
     */
    public List<InetSocketAddress> entryAddresses() {
        return entries.stream().map(EntryService::httpAddress).toList();
    }

    /**
     * The stand-in workers with their records of what truly ran.
     *
     * @return the workers
     */
    public List<StandInServer> workers() {
        return List.copyOf(workers);
    }

    /** Stops everything: entries first, so that no request in progress is cut off. */
    public void stop() {
        entries.forEach(EntryService::stop);
        agents.parallelStream().forEach(AgentService::stop);
        workers.forEach(StandInServer::stop);
        controls.forEach(ControlService::stop);
    }

    private static InetSocketAddress loopbackAddress(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** A port that is free now; processes of a group have to know each other before they start. */
    private static InetSocketAddress freeAddress() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return loopbackAddress(socket.getLocalPort());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
