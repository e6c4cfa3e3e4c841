package org.yuccabank.command;

import java.time.Duration;
import java.util.List;
import org.yuccabank.control.ControlConfiguration;
import org.yuccabank.entry.EntryConfiguration;
import org.yuccabank.entry.RequestAuthenticator;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.policy.placement.PlacementPolicy;
import org.yuccabank.policy.placement.ScanningPlacement;
import org.yuccabank.protocol.PeerAddress;
import org.yuccabank.protocol.PeerSecurity;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaTiming;
import org.yuccabank.result.Result;
import org.yuccabank.security.ReloadingCredentials;
import org.yuccabank.security.TlsContexts;
import org.yuccabank.settings.ControlSettings;
import org.yuccabank.settings.EntrySettings;
import org.yuccabank.settings.ProcessSettings;

/** Converts validated settings to the configurations of the roles. Stateless and thread-safe. */
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
                                                        member.replicaId(),
                                                        PeerAddress.format(member.address())))
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

    /**
     * Returns the TLS configuration of peer connections, which reloads its files when they change.
     *
     * @param settings settings of the process
     * @return the TLS configuration, plaintext if security is off, or the findings about the files
     */
    static Result<PeerSecurity> security(ProcessSettings settings) {
        if (settings.tls().isEmpty()) {
            EventLog.warning(Event.SECURITY_OFF, "process", settings.processId());
            return Result.success(PeerSecurity.plaintext());
        }
        return TlsContexts.load(settings.tls().get()).map(TlsContexts::start);
    }

    /**
     * Returns the authenticator of callers, which uses bearer tokens if a credentials file is set
     * and trusts the account header otherwise.
     *
     * @param settings settings of the entry
     * @return the authenticator, or the findings about the credentials file
     */
    static Result<RequestAuthenticator> authenticator(EntrySettings settings) {
        if (settings.credentialsFile().isEmpty()) {
            return Result.success(RequestAuthenticator.trustingAccountHeader());
        }
        return ReloadingCredentials.load(settings.credentialsFile().get())
                .map(ReloadingCredentials::start)
                .map(RequestAuthenticator::bearerToken);
    }
}
