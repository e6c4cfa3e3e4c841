package org.yuccabank.state;

import org.yuccabank.protocol.generated.CommandResult;
import org.yuccabank.protocol.generated.CommandResult.Verdict;

/** Creates the results of commands. */
final class CommandResults {

    private CommandResults() {}

    static CommandResult accepted(long index) {
        return CommandResult.newBuilder().setVerdict(Verdict.ACCEPTED).setIndex(index).build();
    }

    static CommandResult of(Verdict verdict, String message) {
        return CommandResult.newBuilder().setVerdict(verdict).setMessage(message).build();
    }
}
