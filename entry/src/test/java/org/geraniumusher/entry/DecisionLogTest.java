package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import org.geraniumusher.entry.DecisionLog.Part;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** Guards against logs that hide how many lines are missing in them. */
final class DecisionLogTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long LIMIT_NANOS = 10 * SECOND_NANOS;

    private final AtomicLong mNow = new AtomicLong();
    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
    private final DecisionLog mLog =
            DecisionLog.start(
                    mNow::get, () -> 0, new PrintStream(mBytes, true, StandardCharsets.UTF_8));

    @AfterEach
    void close() {
        mLog.close();
    }

    private String text() {
        return mBytes.toString(StandardCharsets.UTF_8);
    }

    private void awaitText(String part) {
        long end = System.nanoTime() + LIMIT_NANOS;
        while (!text().contains(part) && System.nanoTime() - end < 0) {
            Thread.onSpinWait();
        }
        assertThat(text()).contains(part);
    }

    /** After a burst the count came with the next line of the part, which may be hours later. */
    @Test
    void write_burstIsFollowedByNoLine_numberOfDroppedLinesIsWritten() {
        for (int i = 0; i < 35; i++) {
            mLog.write(Part.ROUTING, "Request failed");
        }
        awaitText("Request failed");
        assertThat(text()).doesNotContain("lines_left_out");

        mNow.addAndGet(2 * SECOND_NANOS);

        awaitText("\"part\":\"ROUTING\",\"event\":\"Lines were left out\",\"lines_left_out\":5}");
    }

    /** Changes of routes bring many requests without one, which used up the limit of the others. */
    @Test
    void write_manyRequestsHaveNoRoute_linesOfOtherFailuresAreKept() {
        for (int i = 0; i < 100; i++) {
            mLog.write(Part.ROUTING, "Request failed");
        }

        mLog.write(Part.REQUEST, "Request failed", "result", "NO_OWNER");

        awaitText("\"result\":\"NO_OWNER\"}");
    }
}
