package org.yuccabank.security;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.result.Result;
import reactor.core.Disposable;
import reactor.core.scheduler.Schedulers;

/**
 * Value that is loaded from files and reloaded when their content changes. If the new content is
 * invalid, the current value stays in effect and the error is logged once. Thread-safe.
 *
 * @param <T> type of the value
 */
public final class ReloadingValue<T> {

    /** Default interval between two checks of the files. */
    public static final Duration DEFAULT_INTERVAL = Duration.ofSeconds(5);

    private final List<Path> files;
    private final Supplier<Result<T>> loader;
    private String fingerprint;
    private volatile T current;
    private Disposable refreshTask = () -> {};

    private ReloadingValue(
            List<Path> files, Supplier<Result<T>> loader, String fingerprint, T current) {
        this.files = List.copyOf(files);
        this.loader = loader;
        this.fingerprint = fingerprint;
        this.current = current;
    }

    /**
     * Loads the initial value.
     *
     * @param files the files on which the value depends
     * @param loader loads the value from the files
     * @param <T> type of the value
     * @return the value, or the findings of the loader
     */
    public static <T> Result<ReloadingValue<T>> load(List<Path> files, Supplier<Result<T>> loader) {
        Objects.requireNonNull(loader, "loader is null");
        String initialFingerprint = fingerprint(files);
        return loader.get()
                .map(value -> new ReloadingValue<>(files, loader, initialFingerprint, value));
    }

    /**
     * Returns the current value.
     *
     * @return the value of the last successful load
     */
    public T current() {
        return current;
    }

    /**
     * Starts to check the files periodically for changes, until {@link #stop}.
     *
     * @param interval time between two checks
     * @return this value
     */
    public synchronized ReloadingValue<T> start(Duration interval) {
        Objects.requireNonNull(interval, "interval is null");
        long millis = interval.toMillis();
        refreshTask =
                Schedulers.boundedElastic()
                        .schedulePeriodically(this::refresh, millis, millis, TimeUnit.MILLISECONDS);
        return this;
    }

    /** Stops checking the files; the current value stays available. */
    public synchronized void stop() {
        refreshTask.dispose();
    }

    /**
     * Reloads the value if the content of the files has changed.
     *
     * @return true if a new value took effect
     */
    public synchronized boolean refresh() {
        String newFingerprint = fingerprint(files);
        if (newFingerprint.equals(fingerprint)) {
            return false;
        }
        fingerprint = newFingerprint;
        Result<T> loaded = loader.get();
        loaded.toOptional().ifPresent(value -> current = value);
        EventLog.warning(
                Event.KEYS_RELOADED,
                "files",
                files,
                "result",
                loaded.isSuccess() ? "in force" : "refused: " + loaded.findings());
        return loaded.isSuccess();
    }

    private static String fingerprint(List<Path> files) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (Path file : files) {
                digest.update(readContent(file));
                digest.update((byte) 0);
            }
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("SHA-256 is not available", exception);
        }
    }

    private static byte[] readContent(Path file) {
        try {
            return Files.readAllBytes(file);
        } catch (IOException exception) {
            return new byte[0];
        }
    }
}
