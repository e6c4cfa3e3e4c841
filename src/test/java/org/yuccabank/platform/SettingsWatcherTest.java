package org.yuccabank.platform;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests the effect of changed settings. */
public final class SettingsWatcherTest {

    private static String settings(String seed) {
        return String.join(
                "\n",
                "node_name: \"n\"",
                "ip: \"127.0.0.1\"",
                "zone: \"z\"",
                "internal_ports: [7000, 7002]",
                "seeds: [\"" + seed + ":1\"]",
                "");
    }

    /** Guards against ignoring changed seeds and against applying an invalid file. */
    @Test
    public void shouldPassOnChangedSettingsAndIgnoreInvalidOnes() throws IOException {
        Path file = Files.writeString(Files.createTempFile("s", ".yaml"), settings("10.0.0.1"));
        List<PlatformSettings> received = new ArrayList<>();
        SettingsWatcher watcher = new SettingsWatcher(file, received::add);
        watcher.reloadIfChanged();
        watcher.reloadIfChanged();
        assertEquals(received.size(), 0);
        Files.writeString(file, settings("10.0.0.2"));
        watcher.reloadIfChanged();
        assertEquals(received.size(), 1);
        assertEquals(received.get(0).controlAddresses().get(0).getHostString(), "10.0.0.2");
        Files.writeString(file, "seeds: 7");
        watcher.reloadIfChanged();
        assertEquals(received.size(), 1);
    }
}
