package org.yuccabank.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that each kind of invalid manifest is refused. */
public final class ManifestDecoderTest {

    private static final String ROUTE =
            "{\"name\":\"r\",\"host\":\"h.example\",\"path_prefix\":\"/a/\",\"timeout_ms\":3000,"
                    + "\"service\":\"s\"}";
    private static final String MANIFEST =
            "{\"version\":7,\"routes\":[" + ROUTE + "],\"services\":[{\"name\":\"s\"}]}";

    private static boolean isValid(String manifest) {
        return ManifestDecoder.decode(manifest.getBytes(StandardCharsets.UTF_8)).isSuccess();
    }

    /** Guards against a decoder that refuses everything. */
    @Test
    public void shouldAcceptValidManifest() {
        assertTrue(isValid(MANIFEST));
        assertTrue(isValid(MANIFEST + "\n"));
        assertTrue(isValid("{\"version\":7,\"routes\":[],\"services\":[]}"));
    }

    /** Valid text and the text that makes it invalid in its place. */
    @DataProvider
    public Object[][] changes() {
        return new Object[][] {
            {MANIFEST, ""},
            {MANIFEST, "[]"},
            {MANIFEST, "null"},
            {MANIFEST, MANIFEST.substring(0, MANIFEST.length() - 1)},
            {MANIFEST, MANIFEST + "x"},
            {MANIFEST, MANIFEST + MANIFEST},
            {"\"version\":7,", ""},
            {"7", "0"},
            {"7", "-7"},
            {"7", "7.5"},
            {"7", "\"7\""},
            {"7", "null"},
            {"7", "9223372036854775808"},
            {"7,", "7,\"version\":8,"},
            {"3000", "0"},
            {"3000", "-1"},
            {"3000", "0.5"},
            {"3000", "\"3000\""},
            {"3000", "null"},
            {",\"timeout_ms\":3000", ""},
            {"\"service\":\"s\"", "\"service\":\"t\""},
            {"\"service\":\"s\"", "\"service\":null"},
            {"\"service\":\"s\"", "\"service\":7"},
            {"\"h.example\"", "7"},
            {"\"/a/\"", "null"},
            {"[" + ROUTE + "]", "[" + ROUTE + "," + ROUTE + "]"},
            {"[" + ROUTE + "]", "[" + ROUTE + "," + ROUTE.replace("h.e", "H.E") + "]"},
            {"[" + ROUTE + "]", "[null]"},
            {"[" + ROUTE + "]", "null"},
            {"[" + ROUTE + "]", "{}"},
            {"\"routes\":[" + ROUTE + "],", ""},
            {"[{\"name\":\"s\"}]", "null"},
            {"[{\"name\":\"s\"}]", "[{\"name\":\"s\"},7]"},
            {",\"services\":[{\"name\":\"s\"}]", ""},
        };
    }

    /** Guards against an invalid manifest that is acknowledged and put in force. */
    @Test(dataProvider = "changes")
    public void shouldRefuseInvalidManifest(String valid, String invalid) {
        String manifest = MANIFEST.replace(valid, invalid);
        assertEquals(isValid(manifest), false, manifest);
    }
}
