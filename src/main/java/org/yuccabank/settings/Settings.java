package org.yuccabank.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiFunction;
import org.yuccabank.model.HostId;
import org.yuccabank.model.Resources;
import org.yuccabank.result.FindingCollector;
import org.yuccabank.result.Result;
import org.yuccabank.result.TextFile;
import org.yuccabank.settings.EntrySettings.WithoutControl;

/**
 * Reads and validates settings files. All findings of a file are reported together.
 *
 * <pre>{@code
 * Result<AgentSettings> settings = Settings.agent(Path.of("agent.toml"), List.of("rack=r2"));
 * }</pre>
 *
 * <p>Relative paths in a file are resolved against the directory of the file. Stateless and
 * thread-safe.
 */
public final class Settings {

    /** Maximum size of a settings file in bytes. */
    public static final int MAXIMUM_FILE_BYTES = 1 << 16;

    private Settings() {}

    /**
     * Reads settings of the control role.
     *
     * @param file the settings file
     * @param overrides assignments such as {@code control.lease_ms=5000} that override the file
     * @return the settings, or all findings
     */
    public static Result<ControlSettings> control(Path file, List<String> overrides) {
        return read(file, overrides, ProcessRole.CONTROL, Settings::control);
    }

    /**
     * Reads settings of the entry role.
     *
     * @param file the settings file
     * @param overrides assignments that override the file
     * @return the settings, or all findings
     */
    public static Result<EntrySettings> entry(Path file, List<String> overrides) {
        return read(file, overrides, ProcessRole.ENTRY, Settings::entry);
    }

    /**
     * Reads settings of the agent role.
     *
     * @param file the settings file
     * @param overrides assignments that override the file
     * @return the settings, or all findings
     */
    public static Result<AgentSettings> agent(Path file, List<String> overrides) {
        return read(file, overrides, ProcessRole.AGENT, Settings::agent);
    }

    /**
     * Reads settings of the worker role.
     *
     * @param file the settings file
     * @param overrides assignments that override the file
     * @return the settings, or all findings
     */
    public static Result<WorkerSettings> worker(Path file, List<String> overrides) {
        return read(file, overrides, ProcessRole.WORKER, Settings::worker);
    }

    /**
     * Reads settings of a role that is selected at run time.
     *
     * @param role the role
     * @param file the settings file
     * @param overrides assignments that override the file
     * @return the settings of the role, or all findings
     */
    public static Result<? extends Record> of(ProcessRole role, Path file, List<String> overrides) {
        return switch (role) {
            case CONTROL -> control(file, overrides);
            case ENTRY -> entry(file, overrides);
            case AGENT -> agent(file, overrides);
            case WORKER -> worker(file, overrides);
        };
    }

    private static <T> Result<T> read(
            Path file,
            List<String> overrides,
            ProcessRole role,
            BiFunction<SettingValues, Path, T> builder) {
        Objects.requireNonNull(file, "file is null");
        Objects.requireNonNull(overrides, "overrides is null");
        Path directory = file.toAbsolutePath().getParent();
        return TextFile.read(file, MAXIMUM_FILE_BYTES)
                .flatMap(text -> parse(text, file.toString(), overrides, role))
                .map(values -> builder.apply(values, directory));
    }

    /** Parses and validates the text of a settings file. */
    static Result<SettingValues> parse(
            String text, String source, List<String> overrides, ProcessRole role) {
        FindingCollector findings = FindingCollector.of(source);
        SettingValues values = SettingsDocument.read(text, source, overrides, role, findings);
        SettingsChecker.check(values, role, findings);
        return findings.isEmpty() ? Result.success(values) : Result.failure(findings.toFindings());
    }

    private static ProcessSettings process(SettingValues values, Path directory) {
        String processId = values.get(SettingKeys.PROCESS_ID);
        long drainMillis = values.get(SettingKeys.DRAIN_TIMEOUT_MS);
        return new ProcessSettings(
                processId,
                HostId.of(values.find(SettingKeys.HOST_ID).orElse(processId)),
                values.get(SettingKeys.DATA_CENTRE),
                values.get(SettingKeys.REGION),
                values.get(SettingKeys.RACK),
                tls(values, directory),
                Optional.of(Duration.ofMillis(drainMillis)).filter(time -> !time.isZero()));
    }

    private static Optional<TlsFiles> tls(SettingValues values, Path directory) {
        Optional<Path> certificate = values.find(SettingKeys.CERTIFICATE_FILE);
        if (values.get(SettingKeys.SECURITY).equals("off") || certificate.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new TlsFiles(
                        directory.resolve(certificate.get()),
                        directory.resolve(values.get(SettingKeys.KEY_FILE)),
                        directory.resolve(values.get(SettingKeys.TRUST_FILE))));
    }

    private static ControlSettings control(SettingValues values, Path directory) {
        return new ControlSettings(
                process(values, directory),
                values.get(SettingKeys.PROTOCOL_ADDRESS),
                values.get(SettingKeys.ADMINISTRATION_ADDRESS),
                directory.resolve(values.get(SettingKeys.DATA_DIRECTORY)),
                new ControlSettings.Group(
                        values.get(SettingKeys.GROUP_NAME),
                        values.get(SettingKeys.REPLICA_ID),
                        values.get(SettingKeys.JOINING),
                        values.get(SettingKeys.MEMBERS)),
                new ControlSettings.Timing(
                        duration(values, SettingKeys.ELECTION_TIMEOUT_MINIMUM_MS),
                        duration(values, SettingKeys.ELECTION_TIMEOUT_MAXIMUM_MS),
                        duration(values, SettingKeys.HEARTBEAT_MS)),
                duration(values, SettingKeys.LEASE_MS),
                duration(values, SettingKeys.SUSPECT_AFTER_MS),
                intValue(values, SettingKeys.CLOCK_DRIFT_PERCENT),
                intValue(values, SettingKeys.SNAPSHOT_ENTRIES),
                intValue(values, SettingKeys.MAXIMUM_QUEUED_JOBS));
    }

    private static EntrySettings entry(SettingValues values, Path directory) {
        boolean refuseRequests = values.get(SettingKeys.WITHOUT_CONTROL).equals("refuse");
        return new EntrySettings(
                process(values, directory),
                values.get(SettingKeys.HTTP_ADDRESS),
                values.get(SettingKeys.ADMINISTRATION_ADDRESS),
                values.get(SettingKeys.CONTROL_ADDRESSES),
                values.find(SettingKeys.CREDENTIALS_FILE).map(directory::resolve),
                refuseRequests ? WithoutControl.REFUSE : WithoutControl.SERVE_IDEMPOTENT,
                duration(values, SettingKeys.CONFIGURATION_LEASE_MS),
                intValue(values, SettingKeys.RETRY_BUDGET_PERCENT),
                intValue(values, SettingKeys.MAXIMUM_BODY_BYTES),
                intValue(values, SettingKeys.MAXIMUM_REQUESTS_IN_PROGRESS));
    }

    private static AgentSettings agent(SettingValues values, Path directory) {
        return new AgentSettings(
                process(values, directory),
                values.get(SettingKeys.PROTOCOL_ADDRESS),
                values.get(SettingKeys.HTTP_ADDRESS),
                values.get(SettingKeys.ADMINISTRATION_ADDRESS),
                values.get(SettingKeys.CONTROL_ADDRESSES),
                values.get(SettingKeys.WORKER_ADDRESS),
                capacity(values),
                duration(values, SettingKeys.REPORT_INTERVAL_MS),
                duration(values, SettingKeys.CONFIGURATION_LEASE_MS),
                intValue(values, SettingKeys.CLOCK_DRIFT_PERCENT));
    }

    private static WorkerSettings worker(SettingValues values, Path directory) {
        return new WorkerSettings(
                process(values, directory),
                values.get(SettingKeys.HTTP_ADDRESS),
                values.get(SettingKeys.AGENT_ADDRESS),
                capacity(values),
                values.get(SettingKeys.SERVICE),
                intValue(values, SettingKeys.SLOTS),
                intValue(values, SettingKeys.CONNECTIONS),
                values.find(SettingKeys.LOAD_FILE).map(directory::resolve));
    }

    private static Resources capacity(SettingValues values) {
        return Resources.of(
                values.get(SettingKeys.PROCESSOR_MILLIS),
                values.get(SettingKeys.MEMORY_MEBIBYTES),
                intValue(values, SettingKeys.ACCELERATORS));
    }

    private static Duration duration(SettingValues values, SettingKey<Long> key) {
        return Duration.ofMillis(values.get(key));
    }

    private static int intValue(SettingValues values, SettingKey<Long> key) {
        return Math.toIntExact(values.get(key));
    }
}
