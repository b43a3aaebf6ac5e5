package org.geraniumusher.daemon;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/** Guards against a configuration page whose keys, units, defaults or ranges differ from code. */
class ConfigurationDocTest {
    @Test
    void configurationPage_keyTable_equalsTheCode() throws IOException {
        List<String> rows =
                Files.readAllLines(Path.of("..", "docs", "configuration.md")).stream()
                        .dropWhile(line -> !line.equals("<!-- keys -->"))
                        .takeWhile(line -> !line.equals("<!-- end of keys -->"))
                        .filter(line -> line.startsWith("| `"))
                        .toList();

        assertThat(rows)
                .containsExactlyElementsIn(
                        Arrays.stream(SettingKey.values()).map(ConfigurationDocTest::row).toList())
                .inOrder();
    }

    private static String row(SettingKey key) {
        String unit = key.unit().isEmpty() ? "–" : key.unit();
        String preset = key.isRequired() ? "required" : "`" + key.defaultText() + "`";
        return String.format(
                "| `%s` | %s | %s | %s | %s |",
                key.path(), unit, preset, key.allowed(), key.meaning());
    }
}
