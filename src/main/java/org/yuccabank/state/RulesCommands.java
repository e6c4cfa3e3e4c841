package org.yuccabank.state;

import org.yuccabank.protocol.generated.ApplyRules;
import org.yuccabank.protocol.generated.CommandResult;
import org.yuccabank.protocol.generated.CommandResult.Verdict;
import org.yuccabank.protocol.generated.RulesVersion;
import org.yuccabank.result.Result;
import org.yuccabank.rules.ParsedRules;
import org.yuccabank.rules.RulesParser;

/**
 * Applies the commands for new versions of the rules.
 *
 * <p>Invariant: a version is accepted only if it is based on the current one, so that exactly one
 * of two operators with the same expected version succeeds and no update is lost.
 */
final class RulesCommands {

    private RulesCommands() {}

    static CommandResult apply(
            SystemState state, ApplyRules command, String account, long index, long nowMillis) {
        long current = state.currentRules().map(RulesVersion::getVersion).orElse(0L);
        if (command.getExpectedVersion() != current) {
            return conflict(state, command, current);
        }
        Result<ParsedRules> parsed = RulesParser.parse(command.getText(), "rules");
        if (!parsed.isSuccess()) {
            return CommandResults.of(Verdict.REJECTED, parsed.findings().toString());
        }
        RulesVersion version =
                RulesVersion.newBuilder()
                        .setVersion(current + 1)
                        .setText(command.getText())
                        .setAuthor(command.getAuthor().isEmpty() ? account : command.getAuthor())
                        .setAcceptedAtMillis(nowMillis)
                        .build();
        state.addRules(version, parsed.get());
        return CommandResults.accepted(index).toBuilder().setVersion(version.getVersion()).build();
    }

    private static CommandResult conflict(SystemState state, ApplyRules command, long current) {
        String currentAuthor = state.currentRules().map(RulesVersion::getAuthor).orElse("nobody");
        String message =
                "expected version "
                        + command.getExpectedVersion()
                        + ", but version "
                        + current
                        + " by "
                        + currentAuthor
                        + " is in force";
        return CommandResults.of(Verdict.CONFLICT, message).toBuilder().setVersion(current).build();
    }
}
