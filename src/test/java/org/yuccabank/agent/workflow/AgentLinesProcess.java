package org.yuccabank.agent.workflow;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.yuccabank.event.EventLog;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.RunEnding;
import org.yuccabank.protocol.generated.StartRun;

/**
 * Process that logs as an agent does when its worker ends the runs of the start directives in the
 * file that is its argument.
 */
public final class AgentLinesProcess {

    private AgentLinesProcess() {}

    /** Handles the start directives. */
    public static void main(String... arguments) throws IOException {
        EventLog.useJson("agent");
        RunTable runs = new RunTable();
        long number = 0;
        try (InputStream starts = Files.newInputStream(Path.of(arguments[0]))) {
            for (StartRun start = StartRun.parseDelimitedFrom(starts);
                    start != null;
                    start = StartRun.parseDelimitedFrom(starts)) {
                number++;
                runs.addStart(start, false);
                EndedRun end =
                        EndedRun.newBuilder()
                                .setRun(start.getRun())
                                .setEnding(RunEnding.RUN_DONE)
                                .setNumber(number)
                                .build();
                runs.applyListing(
                        new WorkerApi.ListOutcome.Listing(number, List.of(), List.of(end), true),
                        number);
                runs.acknowledge(number);
            }
        }
    }
}
