package org.geraniumusher.standin;

import static com.google.common.truth.Truth.assertThat;

import org.geraniumusher.http.HttpCall;
import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/** Guards against a page of metrics whose names or units differ from what a daemon registers. */
class MetricsDocTest {
    @Test
    void metricsPage_table_equalsWhatDaemonsRegister() throws IOException {
        List<String> documented =
                Files.readAllLines(Path.of("..", "docs", "metrics.md")).stream()
                        .dropWhile(line -> !line.equals("<!-- metrics -->"))
                        .takeWhile(line -> !line.equals("<!-- end of metrics -->"))
                        .filter(line -> line.startsWith("| `"))
                        .map(line -> line.split("[|` ]+"))
                        .map(cells -> cells[1] + " " + cells[2])
                        .toList();

        assertThat(documented).containsExactlyElementsIn(registered()).inOrder();
    }

    private static List<String> registered() {
        try (TestFleet fleet = TestFleet.start(1, 1)) {
            HttpCall call = HttpCall.of("GET", "/metrics");
            return fleet.client()
                    .call(fleet.operatorAddress(0), call, Duration.ofSeconds(10))
                    .join()
                    .text()
                    .lines()
                    .filter(line -> !line.startsWith("requests."))
                    .map(line -> line.substring(0, line.lastIndexOf(' ')))
                    .toList();
        }
    }
}
