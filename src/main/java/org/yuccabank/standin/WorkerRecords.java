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

/** Append-only records of one worker, in memory and optionally in a file. Thread-safe. */
public final class WorkerRecords {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<WorkerRecord> records = new ArrayList<>();
    private final Optional<Writer> writer;

    private WorkerRecords(Optional<Writer> writer) {
        this.writer = writer;
    }

    /**
     * Creates empty records.
     *
     * @param file file to which each record is appended as a line of JSON
     * @return the records
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
     * Everything recorded so far.
     *
     * @return the records in the order in which they happened
     */
    public synchronized List<WorkerRecord> all() {
        return List.copyOf(records);
    }
}
