package org.yuccabank.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.yuccabank.result.Finding;
import org.yuccabank.result.FindingCollector;

/** Validates the consistency of the values of a settings file. Stateless and thread-safe. */
final class SettingsChecker {

    private static final List<SettingKey<InetSocketAddress>> ADDRESSES =
            List.of(
                    SettingKeys.PROTOCOL_ADDRESS,
                    SettingKeys.HTTP_ADDRESS,
                    SettingKeys.ADMINISTRATION_ADDRESS,
                    SettingKeys.WORKER_ADDRESS,
                    SettingKeys.AGENT_ADDRESS);

    private SettingsChecker() {}

    /**
     * Validates the values of a role.
     *
     * @param values the values, each valid by itself
     * @param role the role
     * @param findings receives the findings
     */
    static void check(SettingValues values, ProcessRole role, FindingCollector findings) {
        boolean secure = values.get(SettingKeys.SECURITY).equals("tls");
        if (secure && role != ProcessRole.WORKER) {
            checkTls(values, role, findings);
        }
        if (!secure || role == ProcessRole.WORKER) {
            checkLoopback(values, findings);
        }
        if (role == ProcessRole.AGENT) {
            values.find(SettingKeys.WORKER_ADDRESS)
                    .filter(address -> !address.getAddress().isLoopbackAddress())
                    .ifPresent(
                            address ->
                                    addFinding(
                                            values,
                                            SettingKeys.WORKER_ADDRESS,
                                            "the worker must run on the same host; expected a"
                                                    + " loopback address",
                                            findings));
        }
        if (role == ProcessRole.CONTROL) {
            checkTiming(values, findings);
            checkGroup(values, findings);
        }
    }

    private static void checkTls(
            SettingValues values, ProcessRole role, FindingCollector findings) {
        List<SettingKey<?>> requiredKeys = new ArrayList<>();
        requiredKeys.add(SettingKeys.CERTIFICATE_FILE);
        requiredKeys.add(SettingKeys.KEY_FILE);
        requiredKeys.add(SettingKeys.TRUST_FILE);
        if (role == ProcessRole.ENTRY) {
            requiredKeys.add(SettingKeys.CREDENTIALS_FILE);
        }
        for (SettingKey<?> key : requiredKeys) {
            if (values.find(key).isEmpty()) {
                String message = "'" + key.name() + "' is missing; security 'tls' requires it";
                addFinding(values, key, message, findings);
            }
        }
    }

    private static void checkLoopback(SettingValues values, FindingCollector findings) {
        String message = "not a loopback address; security 'off' requires one";
        for (SettingKey<InetSocketAddress> key : ADDRESSES) {
            values.find(key)
                    .filter(address -> !address.getAddress().isLoopbackAddress())
                    .ifPresent(
                            address ->
                                    addFinding(values, key, key.name() + ": " + message, findings));
        }
        boolean remoteControl =
                values.find(SettingKeys.CONTROL_ADDRESSES).stream()
                        .flatMap(List::stream)
                        .anyMatch(address -> !address.getAddress().isLoopbackAddress());
        if (remoteControl) {
            SettingKey<?> key = SettingKeys.CONTROL_ADDRESSES;
            addFinding(values, key, key.name() + ": " + message, findings);
        }
        boolean remoteMember =
                values.find(SettingKeys.MEMBERS).stream()
                        .flatMap(List::stream)
                        .anyMatch(member -> !member.address().getAddress().isLoopbackAddress());
        if (remoteMember) {
            addFinding(values, SettingKeys.MEMBERS, "group.member: " + message, findings);
        }
    }

    private static void checkTiming(SettingValues values, FindingCollector findings) {
        long minimum = values.get(SettingKeys.ELECTION_TIMEOUT_MINIMUM_MS);
        long maximum = values.get(SettingKeys.ELECTION_TIMEOUT_MAXIMUM_MS);
        long heartbeat = values.get(SettingKeys.HEARTBEAT_MS);
        if (maximum <= minimum) {
            String message = "must be greater than election_timeout_minimum_ms (" + minimum + ")";
            addFinding(values, SettingKeys.ELECTION_TIMEOUT_MAXIMUM_MS, message, findings);
        }
        if (minimum < 2 * heartbeat) {
            String message = "must be at least twice heartbeat_ms (" + heartbeat + ")";
            addFinding(values, SettingKeys.ELECTION_TIMEOUT_MINIMUM_MS, message, findings);
        }
    }

    private static void checkGroup(SettingValues values, FindingCollector findings) {
        if (values.find(SettingKeys.MEMBERS).isEmpty()
                || values.find(SettingKeys.REPLICA_ID).isEmpty()) {
            return;
        }
        String replicaId = values.get(SettingKeys.REPLICA_ID);
        boolean joining = values.get(SettingKeys.JOINING);
        List<GroupMember> ownMembers =
                values.get(SettingKeys.MEMBERS).stream()
                        .filter(member -> member.replicaId().equals(replicaId))
                        .toList();
        if (ownMembers.isEmpty() && !joining) {
            String message =
                    "'" + replicaId + "' is not a [[group.member]]; add it, or set joining = true";
            addFinding(values, SettingKeys.REPLICA_ID, message, findings);
        }
        if (!ownMembers.isEmpty() && joining) {
            String message = "'" + replicaId + "' is an initial member; remove joining = true";
            addFinding(values, SettingKeys.JOINING, message, findings);
        }
        ownMembers.forEach(member -> checkOwnAddress(member, values, findings));
    }

    private static void checkOwnAddress(
            GroupMember member, SettingValues values, FindingCollector findings) {
        int port =
                values.find(SettingKeys.PROTOCOL_ADDRESS).map(InetSocketAddress::getPort).orElse(0);
        if (port != 0 && port != member.address().getPort()) {
            String message =
                    "port "
                            + port
                            + " differs from the port of the [[group.member]] '"
                            + member.replicaId()
                            + "'";
            addFinding(values, SettingKeys.PROTOCOL_ADDRESS, message, findings);
        }
    }

    private static void addFinding(
            SettingValues values, SettingKey<?> key, String message, FindingCollector findings) {
        findings.add(new Finding(values.position(key), message));
    }
}
