package org.yuccabank.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.yuccabank.result.Result;
import org.yuccabank.result.TextFile;
import org.yuccabank.rules.ParsedRules;
import org.yuccabank.rules.RulesParser;

/** Validates rules files offline. Stateless and thread-safe. */
final class RulesCheckCommand implements Command {

    @Override
    public String name() {
        return "rules check";
    }

    @Override
    public String summary() {
        return "Validates rules files and prints all errors with their positions.";
    }

    @Override
    public String arguments() {
        return "FILE...";
    }

    @Override
    public Options options() {
        return CommandOptions.json();
    }

    @Override
    public List<String> examples() {
        return List.of(
                "yuccabank rules check examples/tazzart/rules.txt",
                "yuccabank rules check --json old-rules.txt new-rules.txt");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output, PrintStream errors)
            throws ParseException {
        List<String> files = line.getArgList();
        if (files.isEmpty()) {
            throw new ParseException("at least one file is required");
        }
        boolean valid = true;
        for (String file : files) {
            Result<ParsedRules> rules = parse(file);
            valid &= rules.isSuccess();
            output.println(
                    line.hasOption(CommandOptions.JSON) ? json(file, rules) : text(file, rules));
        }
        return valid ? ExitCode.SUCCESS : ExitCode.REFUSED;
    }

    /** Reads and parses a rules file; a failure holds all findings. */
    static Result<ParsedRules> parse(String file) {
        return TextFile.read(Path.of(file), RulesParser.MAXIMUM_LENGTH)
                .flatMap(text -> RulesParser.parse(text, file));
    }

    private static String text(String file, Result<ParsedRules> rules) {
        return rules.fold(
                Object::toString, parsed -> file + ": valid, " + parsed.rules().size() + " rules");
    }

    private static String json(String file, Result<ParsedRules> rules) {
        ObjectNode node = CommandJson.object().put("file", file).put("valid", rules.isSuccess());
        rules.toOptional().ifPresent(parsed -> node.put("rules", parsed.rules().size()));
        node.set("findings", CommandJson.findings(rules.findings()));
        return CommandJson.serialize(node);
    }
}
