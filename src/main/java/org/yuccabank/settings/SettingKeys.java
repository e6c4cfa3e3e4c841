package org.yuccabank.settings;

import static org.yuccabank.settings.ProcessRole.AGENT;
import static org.yuccabank.settings.ProcessRole.CONTROL;
import static org.yuccabank.settings.ProcessRole.ENTRY;
import static org.yuccabank.settings.ProcessRole.WORKER;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Collections;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Registry of all settings keys, documented in {@code docs/settings.md}. Immutable. */
final class SettingKeys {

    private static final Map<String, SettingKey<?>> KEYS_BY_NAME = new LinkedHashMap<>();
    private static final Map<String, String> UNIT_BY_SUFFIX =
            Map.of(
                    "_ms", "ms",
                    "_percent", "%",
                    "_bytes", "bytes",
                    "_millis", "thousandths of a core",
                    "_mebibytes", "MiB",
                    "_address", "address",
                    "_addresses", "addresses",
                    "_file", "path",
                    "_directory", "path",
                    ".member", "tables");
    private static final Set<ProcessRole> ALL_ROLES = EnumSet.allOf(ProcessRole.class);
    private static final Set<ProcessRole> SYSTEM_ROLES = EnumSet.of(CONTROL, ENTRY, AGENT);
    private static final Set<ProcessRole> AGENT_AND_WORKER = EnumSet.of(AGENT, WORKER);

    private static final Set<ProcessRole> ONLY_CONTROL = EnumSet.of(CONTROL);
    private static final Set<ProcessRole> ONLY_ENTRY = EnumSet.of(ENTRY);
    private static final Set<ProcessRole> ONLY_AGENT = EnumSet.of(AGENT);
    private static final Set<ProcessRole> ONLY_WORKER = EnumSet.of(WORKER);

    static final SettingKey<String> PROCESS_ID =
            required(
                    ALL_ROLES,
                    "process_id",
                    SettingTypes.name(),
                    "identifier of the process, unique");
    static final SettingKey<String> HOST_ID =
            optional(
                    ALL_ROLES,
                    "host_id",
                    SettingTypes.name(),
                    "identifier of the host; defaults to the `process_id`");
    static final SettingKey<String> DATA_CENTRE =
            required(ALL_ROLES, "data_centre", SettingTypes.name(), "data centre of the host");
    static final SettingKey<String> REGION =
            withDefault(
                    ALL_ROLES,
                    "region",
                    SettingTypes.name(),
                    "default",
                    "name",
                    "region of the host");
    static final SettingKey<String> RACK =
            withDefault(
                    ALL_ROLES, "rack", SettingTypes.name(), "default", "name", "rack of the host");
    static final SettingKey<String> SECURITY =
            withDefault(
                    ALL_ROLES,
                    "security",
                    SettingTypes.choice("tls", "off"),
                    "tls",
                    "word",
                    "mutual TLS between processes; `off` only when every address is loopback");
    static final SettingKey<Long> DRAIN_TIMEOUT_MS =
            integer(
                    ALL_ROLES,
                    "drain_timeout_ms",
                    0,
                    3_600_000,
                    0,
                    "maximum wait for work in progress when the process stops; 0 means no limit");
    static final SettingKey<InetSocketAddress> PROTOCOL_ADDRESS =
            required(
                    EnumSet.of(CONTROL, AGENT),
                    "protocol_address",
                    SettingTypes.listenAddress(),
                    "listen address of the peer protocol");
    static final SettingKey<InetSocketAddress> HTTP_ADDRESS =
            required(
                    EnumSet.of(ENTRY, AGENT, WORKER),
                    "http_address",
                    SettingTypes.listenAddress(),
                    "HTTP listen address for callers (entry), announcements of the target (agent)"
                            + " or requests of the agent (worker)");
    static final SettingKey<InetSocketAddress> ADMINISTRATION_ADDRESS =
            withDefault(
                    SYSTEM_ROLES,
                    "administration_address",
                    SettingTypes.listenAddress(),
                    Addresses.parse("127.0.0.1:0").orElseThrow(),
                    "address",
                    "listen address of `/metrics` and `/health`");
    static final SettingKey<List<InetSocketAddress>> CONTROL_ADDRESSES =
            required(
                    EnumSet.of(ENTRY, AGENT),
                    "control_addresses",
                    SettingTypes.peerAddresses(),
                    "peer protocol addresses of the control processes");
    static final SettingKey<Path> CERTIFICATE_FILE =
            optional(
                    SYSTEM_ROLES,
                    "tls.certificate_file",
                    SettingTypes.path(),
                    "certificate chain of this process, PEM; required with security `tls`");
    static final SettingKey<Path> KEY_FILE =
            optional(
                    SYSTEM_ROLES,
                    "tls.key_file",
                    SettingTypes.path(),
                    "private key of this process, PEM (PKCS 8); required with security `tls`");
    static final SettingKey<Path> TRUST_FILE =
            optional(
                    SYSTEM_ROLES,
                    "tls.trust_file",
                    SettingTypes.path(),
                    "CA certificates that verify the certificates of peers, PEM; required with"
                            + " security `tls`");

    static final SettingKey<Path> DATA_DIRECTORY =
            required(
                    ONLY_CONTROL,
                    "control.data_directory",
                    SettingTypes.path(),
                    "directory of the replicated log and its snapshots");
    static final SettingKey<Long> LEASE_MS =
            integer(
                    ONLY_CONTROL,
                    "control.lease_ms",
                    1000,
                    600_000,
                    10_000,
                    "duration of task leases");
    static final SettingKey<Long> CLOCK_DRIFT_PERCENT =
            integer(
                    EnumSet.of(CONTROL, AGENT),
                    "clock_drift_percent",
                    0,
                    50,
                    10,
                    "maximum relative drift between the clocks of two hosts; equal in all files");
    static final SettingKey<Long> ELECTION_TIMEOUT_MINIMUM_MS =
            integer(
                    ONLY_CONTROL,
                    "control.election_timeout_minimum_ms",
                    50,
                    60_000,
                    300,
                    "minimum time without a leader after which an election starts; at least twice"
                            + " `heartbeat_ms`");
    static final SettingKey<Long> ELECTION_TIMEOUT_MAXIMUM_MS =
            integer(
                    ONLY_CONTROL,
                    "control.election_timeout_maximum_ms",
                    50,
                    120_000,
                    600,
                    "maximum such time; greater than the minimum");
    static final SettingKey<Long> HEARTBEAT_MS =
            integer(
                    ONLY_CONTROL,
                    "control.heartbeat_ms",
                    10,
                    10_000,
                    75,
                    "interval between heartbeats of the leader");
    static final SettingKey<Long> SNAPSHOT_ENTRIES =
            integer(
                    ONLY_CONTROL,
                    "control.snapshot_entries",
                    100,
                    10_000_000,
                    20_000,
                    "log entries between two snapshots");
    static final SettingKey<Long> SUSPECT_AFTER_MS =
            integer(
                    ONLY_CONTROL,
                    "control.suspect_after_ms",
                    100,
                    600_000,
                    3000,
                    "time without a report after which a host is assigned no new work");
    static final SettingKey<Long> MAXIMUM_QUEUED_JOBS =
            integer(
                    ONLY_CONTROL,
                    "control.maximum_queued_jobs",
                    1,
                    1_000_000,
                    50_000,
                    "maximum number of queued jobs; further jobs are refused");
    static final SettingKey<String> GROUP_NAME =
            withDefault(
                    ONLY_CONTROL,
                    "group.name",
                    SettingTypes.name(),
                    "cell",
                    "name",
                    "name of the control group");
    static final SettingKey<String> REPLICA_ID =
            required(
                    ONLY_CONTROL,
                    "group.replica_id",
                    SettingTypes.name(),
                    "identifier of this replica; must not be reused after its disk is lost");
    static final SettingKey<Boolean> JOINING =
            withDefault(
                    ONLY_CONTROL,
                    "group.joining",
                    SettingTypes.flag(),
                    false,
                    "flag",
                    "true for a new replica that is not an initial member");
    static final SettingKey<List<GroupMember>> MEMBERS =
            required(
                    ONLY_CONTROL,
                    "group.member",
                    SettingTypes.members(),
                    "initial members of the group, as `[[group.member]]`");

    static final SettingKey<Path> CREDENTIALS_FILE =
            optional(
                    ONLY_ENTRY,
                    "entry.credentials_file",
                    SettingTypes.path(),
                    "credentials of the callers; required with security `tls`");
    static final SettingKey<String> WITHOUT_CONTROL =
            withDefault(
                    ONLY_ENTRY,
                    "entry.without_control",
                    SettingTypes.choice("serve-idempotent", "refuse"),
                    "serve-idempotent",
                    "word",
                    "handling of idempotent urgent requests while control is unreachable");
    static final SettingKey<Long> CONFIGURATION_LEASE_MS =
            integer(
                    EnumSet.of(ENTRY, AGENT),
                    "configuration_lease_ms",
                    500,
                    60_000,
                    3000,
                    "time without contact to control after which at-most-once requests and new"
                            + " tasks are refused");
    static final SettingKey<Long> RETRY_BUDGET_PERCENT =
            integer(
                    ONLY_ENTRY,
                    "entry.retry_budget_percent",
                    0,
                    100,
                    10,
                    "maximum ratio of retries to requests");
    static final SettingKey<Long> MAXIMUM_BODY_BYTES =
            integer(
                    ONLY_ENTRY,
                    "entry.maximum_body_bytes",
                    1,
                    4_194_304,
                    4_194_304,
                    "maximum size of a request body");
    static final SettingKey<Long> MAXIMUM_REQUESTS_IN_PROGRESS =
            integer(
                    ONLY_ENTRY,
                    "entry.maximum_requests_in_progress",
                    1,
                    1_000_000,
                    10_000,
                    "maximum number of requests in progress; further ones are refused");

    static final SettingKey<InetSocketAddress> WORKER_ADDRESS =
            required(
                    ONLY_AGENT,
                    "agent.worker_address",
                    SettingTypes.peerAddress(),
                    "HTTP address of the worker on this host");
    static final SettingKey<Long> REPORT_INTERVAL_MS =
            integer(
                    ONLY_AGENT,
                    "agent.report_interval_ms",
                    50,
                    60_000,
                    1000,
                    "interval between reports to control");
    static final SettingKey<Long> PROCESSOR_MILLIS =
            integer(
                    AGENT_AND_WORKER,
                    "capacity.processor_millis",
                    1,
                    10_000_000,
                    16_000,
                    "CPU capacity of the host; the agent uses it until the worker reports its own");
    static final SettingKey<Long> MEMORY_MEBIBYTES =
            integer(
                    AGENT_AND_WORKER,
                    "capacity.memory_mebibytes",
                    1,
                    1_000_000_000,
                    61_440,
                    "memory capacity of the host, used likewise");
    static final SettingKey<Long> ACCELERATORS =
            integer(
                    AGENT_AND_WORKER,
                    "capacity.accelerators",
                    0,
                    10_000,
                    0,
                    "accelerators of the host, used likewise");

    static final SettingKey<InetSocketAddress> AGENT_ADDRESS =
            required(
                    ONLY_WORKER,
                    "worker.agent_address",
                    SettingTypes.peerAddress(),
                    "HTTP address of the agent, to which the target announces itself");
    static final SettingKey<String> SERVICE =
            required(ONLY_WORKER, "worker.service", SettingTypes.name(), "service of the target");
    static final SettingKey<Long> SLOTS =
            integer(
                    ONLY_WORKER,
                    "worker.slots",
                    1,
                    10_000,
                    8,
                    "requests that the target runs concurrently");
    static final SettingKey<Long> CONNECTIONS =
            integer(
                    ONLY_WORKER,
                    "worker.connections",
                    1,
                    100_000,
                    64,
                    "maximum number of connections that the target accepts");
    static final SettingKey<Path> LOAD_FILE =
            optional(
                    ONLY_WORKER,
                    "worker.load_file",
                    SettingTypes.path(),
                    "service times of the kinds, such as `examples/tazzart/load.toml`");

    private SettingKeys() {}

    /** Returns all keys by name, in documentation order. */
    static Map<String, SettingKey<?>> all() {
        return Collections.unmodifiableMap(KEYS_BY_NAME);
    }

    private static <T> SettingKey<T> register(SettingKey<T> key) {
        KEYS_BY_NAME.put(key.name(), key);
        return key;
    }

    private static <T> SettingKey<T> required(
            Set<ProcessRole> roles, String name, SettingType<T> type, String description) {
        String unit = unitOf(name, type);
        return register(
                new SettingKey<>(name, roles, type, Optional.empty(), true, unit, description));
    }

    private static <T> SettingKey<T> optional(
            Set<ProcessRole> roles, String name, SettingType<T> type, String description) {
        String unit = unitOf(name, type);
        return register(
                new SettingKey<>(name, roles, type, Optional.empty(), false, unit, description));
    }

    private static <T> SettingKey<T> withDefault(
            Set<ProcessRole> roles,
            String name,
            SettingType<T> type,
            T defaultValue,
            String unit,
            String description) {
        Optional<T> value = Optional.of(defaultValue);
        return register(new SettingKey<>(name, roles, type, value, false, unit, description));
    }

    private static SettingKey<Long> integer(
            Set<ProcessRole> roles,
            String name,
            long minimum,
            long maximum,
            long defaultValue,
            String description) {
        SettingType<Long> type = SettingTypes.integer(minimum, maximum);
        return withDefault(roles, name, type, defaultValue, unitOf(name, type), description);
    }

    private static String unitOf(String name, SettingType<?> type) {
        for (Map.Entry<String, String> suffix : UNIT_BY_SUFFIX.entrySet()) {
            if (name.endsWith(suffix.getKey())) {
                return suffix.getValue();
            }
        }
        return Character.isDigit(type.range().charAt(0)) ? "count" : "name";
    }
}
