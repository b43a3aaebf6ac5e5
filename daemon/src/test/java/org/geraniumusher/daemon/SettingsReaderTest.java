package org.geraniumusher.daemon;

import static com.google.common.truth.Truth.assertThat;

import org.geraniumusher.daemon.SettingsResult.Invalid;
import org.geraniumusher.daemon.SettingsResult.Loaded;
import org.geraniumusher.daemon.SettingsResult.Problem;
import org.geraniumusher.model.Address;
import org.junit.jupiter.api.Test;

import java.nio.file.Path;
import java.util.List;

/**
 * Guards against a daemon that starts with a misspelt or impossible setting, and against reports
 * that name one error at a time.
 */
class SettingsReaderTest {
    private static final Path EXAMPLE = Path.of("..", "config", "geraniumusherd.example.toml");
    private static final String REQUIRED =
            """
            name = "entry-1"
            data_centre = "nadi-b"
            region = "viti-west"
            addresses.caller = "127.0.0.1:1"
            addresses.forward = "127.0.0.1:2"
            addresses.peer = "127.0.0.1:3"
            addresses.operator = "127.0.0.1:4"
            addresses.platform = "127.0.0.1:5"
            """;

    @Test
    void read_exampleFile_loadsWithTheDefaultLimits() {
        Settings settings = ((Loaded) SettingsReader.read(EXAMPLE)).settings();

        assertThat(settings.name()).isEqualTo("entry-1");
        assertThat(settings.seeds()).contains(Address.of("127.0.0.1:7412"));
        assertThat(settings.limits()).isEqualTo(Limits.builder().build());
    }

    @Test
    void parse_requiredKeysOnly_takesTheDefaults() {
        Settings settings = ((Loaded) SettingsReader.parse(REQUIRED)).settings();

        assertThat(settings.seeds()).isEmpty();
        assertThat(settings.logLevel()).isEqualTo(LogLevel.INFO);
    }

    @Test
    void parse_severalErrors_listsAllWithKeyValueAndAllowed() {
        String toml =
                REQUIRED.replace("\"127.0.0.1:4\"", "\"127.0.0.1:3\"")
                                .replace("name = \"entry-1\"", "nam = \"entry-1\"")
                        + "log_level = \"loud\"\nlimits.io_threads = 0\n"
                        + "limits.ring_capacity = 1000\nlimits.queue_per_server = \"9\"\n"
                        + "seeds = [\"127.0.0.1\"]\n";

        List<Problem> problems = ((Invalid) SettingsReader.parse(toml)).problems();

        assertThat(problems.stream().map(Problem::key))
                .containsExactly(
                        "name",
                        "log_level",
                        "seeds",
                        "limits.queue_per_server",
                        "limits.ring_capacity",
                        "limits.io_threads",
                        "addresses.operator",
                        "nam")
                .inOrder();
        assertThat(problems.get(5).toString())
                .isEqualTo("limits.io_threads = 0: allowed is whole number from 1 to 64");
    }

    @Test
    void parse_brokenToml_namesTheLine() {
        Problem problem = ((Invalid) SettingsReader.parse("name = 1\nregion = ")).problems().get(0);
        assertThat(problem.value()).isEqualTo("line 2");
    }

    @Test
    void read_missingFile_isOneProblem() {
        assertThat(((Invalid) SettingsReader.read(Path.of("no-such.toml"))).problems()).hasSize(1);
    }
}
