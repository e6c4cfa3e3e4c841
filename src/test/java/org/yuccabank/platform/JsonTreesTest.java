package org.yuccabank.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Holds that trees are read and written as the object mapper of the library does it. */
public final class JsonTreesTest {

    private static final String DOCUMENT =
            "{\"a\":[1,-2,3000000000,12345678901234567890,0.25,1e3],\"b\":{\"c\":null,\"d\":true,"
                    + "\"e\":\"q\\\"\\u00e9\"},\"f\":{},\"g\":[],\"h\":false}";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Guards against a value that is read as another one than was sent. */
    @Test
    public void shouldReadAndWriteAsObjectMapperDoes() throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        JsonNode tree = JsonTrees.json(bytes(DOCUMENT));
        assertEquals(tree, mapper.readTree(DOCUMENT));
        assertEquals(mapper.readTree(JsonTrees.bytes(tree)), tree);
    }

    /** Guards against a body that is cut short or goes on and is taken for a whole one. */
    @Test
    public void shouldRefuseWhatIsNotOneDocument() {
        for (String text : new String[] {"{\"a\":1", "{\"a\":1}}", "{\"a\":1} {}", "[1,]", "{a}"}) {
            assertThrows(IOException.class, () -> JsonTrees.json(bytes(text)));
        }
    }

    /** Guards against a body that nests so deeply that reading it uses up the stack. */
    @Test
    public void shouldRefuseDeepNesting() {
        assertThrows(IOException.class, () -> JsonTrees.json(bytes("[".repeat(500))));
    }

    /** Guards against settings files that the platform writes in the block form of YAML. */
    @Test
    public void shouldReadYaml() throws IOException {
        JsonNode tree = JsonTrees.yaml(bytes("a: \"x\"\nb:\n  - 1\n  - \"2\"\nc:\n  d: true\n"));
        assertEquals(tree.path("a").asText(), "x");
        assertEquals(tree.path("b").path(0).asLong(), 1);
        assertTrue(tree.path("b").path(1).isTextual());
        assertTrue(tree.path("c").path("d").booleanValue());
    }

    /** Guards against an empty body that is taken for a value. */
    @Test
    public void shouldTakeEmptyDocumentForMissing() throws IOException {
        assertTrue(JsonTrees.json(bytes(" ")).isMissingNode());
    }
}
