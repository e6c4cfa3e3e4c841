package org.yuccabank.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.yuccabank.result.Finding;
import org.yuccabank.result.Findings;
import org.yuccabank.rules.Rule;

/** Serialises command results to JSON. Thread-safe. */
final class CommandJson {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private CommandJson() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static ArrayNode array() {
        return MAPPER.createArrayNode();
    }

    static ArrayNode findings(Findings findings) {
        ArrayNode array = array();
        for (Finding finding : findings.all()) {
            array.addObject()
                    .put("file", finding.position().source())
                    .put("line", finding.position().line())
                    .put("column", finding.position().column())
                    .put("message", finding.message());
        }
        return array;
    }

    static ObjectNode rule(Rule rule) {
        ObjectNode node = object();
        node.put("line", rule.line()).put("rule", rule.text()).put("askedBy", rule.askedBy());
        rule.reason().ifPresent(reason -> node.put("reason", reason));
        return node;
    }

    /** Returns the JSON text of a node, without line breaks. */
    static String serialize(ObjectNode node) {
        try {
            return MAPPER.writeValueAsString(node);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("JSON tree cannot be serialised", exception);
        }
    }
}
