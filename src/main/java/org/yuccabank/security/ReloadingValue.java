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
 * A value that is loaded from files and loaded again when their content changes. A faulty new
 * content leaves the present value in force and is reported once. Safe for use by several threads.
 *
 * @param <T> type of the value
 */
public final class ReloadingValue<T> {

    /** Usual interval between two looks at the files. */
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
     * Loads a value for the first time.
     *
     * @param files the files on which the value depends
     * @param loader reads the value
     * @param <T> type of the value
     * @return the value, or why it cannot be read
     */
    public static <T> Result<ReloadingValue<T>> load(List<Path> files, Supplier<Result<T>> loader) {
        Objects.requireNonNull(loader, "loader is null");
        String initialFingerprint = fingerprint(files);
        return loader.get()
                .map(value -> new ReloadingValue<>(files, loader, initialFingerprint, value));
    }

    /**
     * The present value.
     *
     * @return the value that was read last without fault
     */
    public T current() {
        return current;
    }

    /**
     * Looks at the files regularly until {@link #stop}.
     *
     * @param interval time between two looks
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

    /** Stops looking at the files; the present value stays. */
    public synchronized void stop() {
        refreshTask.dispose();
    }

    /**
     * Loads the value again if the files have changed.
     *
     * @return true if a new value is in force
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
            throw new IllegalStateException("every Java platform has SHA-256", exception);
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
