package org.yuccabank.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.yuccabank.result.Findings;
import org.yuccabank.result.Result;
import org.yuccabank.rules.ParsedRules;
import org.yuccabank.rules.RulesDifference;

/** Prints the difference between two rules files. Stateless and thread-safe. */
final class RulesDiffCommand implements Command {

    @Override
    public String name() {
        return "rules diff";
    }

    @Override
    public String summary() {
        return "Shows added, removed and changed rules with their requesters.";
    }

    @Override
    public String arguments() {
        return "OLD NEW";
    }

    @Override
    public Options options() {
        return CommandOptions.json();
    }

    @Override
    public List<String> examples() {
        return List.of("yuccabank rules diff rules.txt new-rules.txt");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output, PrintStream errors)
            throws ParseException {
        List<String> files = line.getArgList();
        if (files.size() != 2) {
            throw new ParseException("exactly two files are required");
        }
        Result<ParsedRules> older = RulesCheckCommand.parse(files.get(0));
        Result<ParsedRules> newer = RulesCheckCommand.parse(files.get(1));
        Findings findings = older.findings().append(newer.findings());
        if (!findings.isEmpty()) {
            errors.println(findings);
            return ExitCode.REFUSED;
        }
        RulesDifference difference = RulesDifference.between(older.get(), newer.get());
        if (line.hasOption(CommandOptions.JSON)) {
            output.println(json(difference));
        } else {
            print(difference, output);
        }
        return ExitCode.SUCCESS;
    }

    private static void print(RulesDifference difference, PrintStream output) {
        if (difference.isEmpty()) {
            output.println("no difference");
        }
        difference.removed().forEach(rule -> output.println("- " + rule));
        difference.added().forEach(rule -> output.println("+ " + rule));
        for (RulesDifference.Change change : difference.changed()) {
            output.println("< " + change.before());
            output.println("> " + change.after());
        }
    }

    private static String json(RulesDifference difference) {
        ArrayNode added = CommandJson.array();
        difference.added().forEach(rule -> added.add(CommandJson.rule(rule)));
        ArrayNode removed = CommandJson.array();
        difference.removed().forEach(rule -> removed.add(CommandJson.rule(rule)));
        ArrayNode changed = CommandJson.array();
        for (RulesDifference.Change change : difference.changed()) {
            ObjectNode node = changed.addObject();
            node.set("before", CommandJson.rule(change.before()));
            node.set("after", CommandJson.rule(change.after()));
        }
        ObjectNode node = CommandJson.object();
        node.set("added", added);
        node.set("removed", removed);
        node.set("changed", changed);
        return CommandJson.serialize(node);
    }
}
