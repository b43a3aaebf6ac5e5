package org.geraniumusher.daemon;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.flogger.FluentLogger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.logging.LogManager;

/**
 * Guards against log lines that line-based tools cannot read, records of the wrong level, and a
 * fault that fills the log with the same line.
 */
class LogSetupTest {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String TIME = "\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}Z";

    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();

    @BeforeEach
    void install() {
        LogSetup.install(LogLevel.INFO, mOutput);
    }

    @AfterEach
    void restore() throws IOException {
        LogManager.getLogManager().readConfiguration();
    }

    @Test
    void log_info_isOneLineOfTimeLevelAndText() {
        LOG.atInfo().log("ownership: slice moved service=%s epoch=%d", "catalogue", 7);
        assertThat(text())
                .matches(TIME + " info ownership: slice moved service=catalogue epoch=7\n");
    }

    @Test
    void log_causeAndLineBreaks_staysOneLine() {
        LOG.atWarning().withCause(new IOException("broken\npipe")).log("caller: a\r\n  b");
        assertThat(text())
                .matches(
                        TIME
                                + " warning caller: a b cause=\"java.io.IOException: broken pipe\""
                                + " at=\\S+LogSetupTest\\S+\n");
    }

    @Test
    void log_belowTheLevel_isLeftOut() {
        LOG.atFine().log("config: detail");
        assertThat(text()).isEmpty();
    }

    @Test
    void log_repeatedWithLimit_appearsOnce() {
        for (int i = 0; i < 1_000; i++) {
            LOG.atWarning().atMostEvery(1, TimeUnit.HOURS).log("platform: no answer");
        }
        assertThat(text().lines().count()).isEqualTo(1);
    }

    private String text() {
        return mOutput.toString(StandardCharsets.UTF_8);
    }
}
