package org.yuccabank.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Append-only list of the records of a worker, optionally also written to a file. Thread-safe. */
public final class WorkerRecords {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<WorkerRecord> records = new ArrayList<>();
    private final Optional<Writer> writer;

    private WorkerRecords(Optional<Writer> writer) {
        this.writer = writer;
    }

    /**
     * Creates an empty list of records.
     *
     * @param file file to which each record is appended as a line of JSON; empty to write none
     * @return the records
     * @throws UncheckedIOException if the file cannot be opened
     */
    public static WorkerRecords of(Optional<Path> file) {
        return new WorkerRecords(file.map(WorkerRecords::open));
    }

    private static Writer open(Path file) {
        try {
            return Files.newBufferedWriter(
                    file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    synchronized void add(WorkerRecord workerRecord) {
        records.add(workerRecord);
        writer.ifPresent(output -> write(output, workerRecord));
    }

    private static void write(Writer output, WorkerRecord workerRecord) {
        try {
            output.write(JSON.writeValueAsString(workerRecord));
            output.write('\n');
            output.flush();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Returns a copy of the records so far.
     *
     * @return the records in the order in which they were added
     */
    public synchronized List<WorkerRecord> all() {
        return List.copyOf(records);
    }
}
