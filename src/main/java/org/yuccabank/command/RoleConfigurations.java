package org.yuccabank.command;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.yuccabank.control.ControlConfiguration;
import org.yuccabank.entry.EntryConfiguration;
import org.yuccabank.policy.placement.PlacementPolicy;
import org.yuccabank.policy.placement.ScanningPlacement;
import org.yuccabank.protocol.PeerSecurity;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaTiming;
import org.yuccabank.settings.ControlSettings;
import org.yuccabank.settings.EntrySettings;
import org.yuccabank.settings.ProcessSettings;

/** Translates checked settings into what each role needs. Has no state. */
final class RoleConfigurations {

    private static final double PERCENT = 100.0;

    private RoleConfigurations() {}

    static ControlConfiguration control(ControlSettings settings) {
        ControlSettings.Group group = settings.group();
        List<ReplicaMember> members =
                group.joining()
                        ? List.of()
                        : group.members().stream()
                                .map(
                                        member ->
                                                ReplicaMember.voter(
                                                        member.replicaId(), text(member.address())))
                                .toList();
        return new ControlConfiguration(
                settings.process().processId(),
                settings.process().dataCentre(),
                group.name(),
                group.replicaId(),
                members,
                settings.dataDirectory(),
                settings.protocolAddress(),
                settings.administrationAddress(),
                settings.lease().toMillis(),
                settings.clockDriftPercent() / PERCENT,
                timing(settings));
    }

    private static ReplicaTiming timing(ControlSettings settings) {
        Duration minimum = settings.timing().electionTimeoutMinimum();
        Duration maximum = settings.timing().electionTimeoutMaximum();
        return new ReplicaTiming(
                minimum.toMillis(),
                maximum.minus(minimum).toMillis(),
                settings.timing().heartbeat().toMillis(),
                settings.clockDriftPercent());
    }

    static EntryConfiguration entry(EntrySettings settings) {
        return new EntryConfiguration(
                settings.process().processId(),
                settings.process().dataCentre(),
                settings.httpAddress(),
                settings.administrationAddress(),
                settings.controlAddresses(),
                settings.configurationLease().toMillis(),
                settings.withoutControl() == EntrySettings.WithoutControl.SERVE_IDEMPOTENT,
                settings.retryBudgetPercent(),
                settings.process().drainTimeout().map(Duration::toMillis).orElse(0L));
    }

    static PlacementPolicy placement() {
        return ScanningPlacement.bestFit();
    }

    static PeerSecurity security(ProcessSettings settings) {
        return PeerSecurity.off();
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
