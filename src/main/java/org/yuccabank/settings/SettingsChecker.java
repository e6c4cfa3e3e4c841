package org.yuccabank.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.yuccabank.result.Finding;
import org.yuccabank.result.FindingCollector;

/** Checks the values of a settings file against each other. Thread-safe, as it has no state. */
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
     * Checks values.
     *
     * @param values the values that are valid by themselves
     * @param role the role that reads them
     * @param findings receives the faults
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
                                    fault(
                                            values,
                                            SettingKeys.WORKER_ADDRESS,
                                            "the worker runs on this host; expected a loopback"
                                                    + " address",
                                            findings));
        }
        if (role == ProcessRole.CONTROL) {
            checkTiming(values, findings);
            checkGroup(values, findings);
        }
    }

    private static void checkTls(
            SettingValues values, ProcessRole role, FindingCollector findings) {
        List<SettingKey<?>> needed = new ArrayList<>();
        needed.add(SettingKeys.CERTIFICATE_FILE);
        needed.add(SettingKeys.KEY_FILE);
        needed.add(SettingKeys.TRUST_FILE);
        if (role == ProcessRole.ENTRY) {
            needed.add(SettingKeys.CREDENTIALS_FILE);
        }
        for (SettingKey<?> key : needed) {
            if (values.find(key).isEmpty()) {
                String message = "'" + key.name() + "' is missing; security 'tls' needs it";
                fault(values, key, message, findings);
            }
        }
    }

    private static void checkLoopback(SettingValues values, FindingCollector findings) {
        String message = "not a loopback address; without it security 'off' is not allowed";
        for (SettingKey<InetSocketAddress> key : ADDRESSES) {
            values.find(key)
                    .filter(address -> !address.getAddress().isLoopbackAddress())
                    .ifPresent(
                            address -> fault(values, key, key.name() + ": " + message, findings));
        }
        boolean remoteControl =
                values.find(SettingKeys.CONTROL_ADDRESSES).stream()
                        .flatMap(List::stream)
                        .anyMatch(address -> !address.getAddress().isLoopbackAddress());
        if (remoteControl) {
            SettingKey<?> key = SettingKeys.CONTROL_ADDRESSES;
            fault(values, key, key.name() + ": " + message, findings);
        }
        boolean remoteMember =
                values.find(SettingKeys.MEMBERS).stream()
                        .flatMap(List::stream)
                        .anyMatch(member -> !member.address().getAddress().isLoopbackAddress());
        if (remoteMember) {
            fault(values, SettingKeys.MEMBERS, "group.member: " + message, findings);
        }
    }

    private static void checkTiming(SettingValues values, FindingCollector findings) {
        long minimum = values.get(SettingKeys.ELECTION_TIMEOUT_MINIMUM_MS);
        long maximum = values.get(SettingKeys.ELECTION_TIMEOUT_MAXIMUM_MS);
        long heartbeat = values.get(SettingKeys.HEARTBEAT_MS);
        if (maximum <= minimum) {
            String message = "must be greater than election_timeout_minimum_ms (" + minimum + ")";
            fault(values, SettingKeys.ELECTION_TIMEOUT_MAXIMUM_MS, message, findings);
        }
        if (minimum < 2 * heartbeat) {
            String message = "must be at least twice heartbeat_ms (" + heartbeat + ")";
            fault(values, SettingKeys.ELECTION_TIMEOUT_MINIMUM_MS, message, findings);
        }
    }

    private static void checkGroup(SettingValues values, FindingCollector findings) {
        if (values.find(SettingKeys.MEMBERS).isEmpty()
                || values.find(SettingKeys.REPLICA_ID).isEmpty()) {
            return;
        }
        String replicaId = values.get(SettingKeys.REPLICA_ID);
        boolean joining = values.get(SettingKeys.JOINING);
        List<GroupMember> own =
                values.get(SettingKeys.MEMBERS).stream()
                        .filter(member -> member.replicaId().equals(replicaId))
                        .toList();
        if (own.isEmpty() && !joining) {
            String message =
                    "'" + replicaId + "' is not a [[group.member]]; add it, or set joining = true";
            fault(values, SettingKeys.REPLICA_ID, message, findings);
        }
        if (!own.isEmpty() && joining) {
            String message = "'" + replicaId + "' is a first member; remove joining = true";
            fault(values, SettingKeys.JOINING, message, findings);
        }
        own.forEach(member -> checkOwnAddress(member, values, findings));
    }

    private static void checkOwnAddress(
            GroupMember member, SettingValues values, FindingCollector findings) {
        int port =
                values.find(SettingKeys.PROTOCOL_ADDRESS).map(InetSocketAddress::getPort).orElse(0);
        if (port != 0 && port != member.address().getPort()) {
            String message =
                    "port "
                            + port
                            + " differs from the address of the [[group.member]] '"
                            + member.replicaId()
                            + "'";
            fault(values, SettingKeys.PROTOCOL_ADDRESS, message, findings);
        }
    }

    private static void fault(
            SettingValues values, SettingKey<?> key, String message, FindingCollector findings) {
        findings.add(new Finding(values.place(key), message));
    }
}
