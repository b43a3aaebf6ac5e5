package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Guards against stalls of the event loop that no log line shows. */
final class EventLoopMonitorTest {
    private final ByteArrayOutputStream mLogBytes = new ByteArrayOutputStream();
    private final AtomicLong mNow = new AtomicLong();
    private final DecisionLog mLog =
            DecisionLog.start(
                    mNow::get, () -> 0L, new PrintStream(mLogBytes, true, StandardCharsets.UTF_8));
    private final EventLoopMonitor mMonitor = new EventLoopMonitor(mNow::get, mLog);

    @AfterEach
    void closeLog() {
        mLog.close();
    }

    private String log() {
        mLog.close();
        return mLogBytes.toString(StandardCharsets.UTF_8);
    }

    @Test
    void onPollStarts_passIsLong_isCountedAndLogged() {
        mMonitor.onPollReturned();
        mNow.addAndGet(TimeUnit.MILLISECONDS.toNanos(1_600));
        mMonitor.onPollStarts();

        assertThat(mMonitor.stalls()).isEqualTo(1);
        assertThat(mMonitor.longestPassMillis()).isEqualTo(1_600);
        assertThat(log()).contains("\"Event loop did not poll its sockets\",\"for_ms\":1600");
    }

    /** A poll that waits for an hour is no stall. */
    @Test
    void onPollStarts_pollWaitsLong_isNotCounted() {
        mMonitor.onPollStarts();
        mNow.addAndGet(TimeUnit.HOURS.toNanos(1));
        mMonitor.onPollReturned();
        mMonitor.onPollStarts();

        assertThat(mMonitor.stalls()).isEqualTo(0);
        assertThat(mMonitor.longestPassMillis()).isEqualTo(0);
        assertThat(log()).doesNotContain("did not poll");
    }

    /** The handler of the event loop has to report the polls. */
    @Test
    void monitoring_taskTakesLong_isCounted() throws Exception {
        EventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, mMonitor.monitoring(NioIoHandler.newFactory()));
        try {
            group.submit(() -> mNow.addAndGet(EventLoopMonitor.STALL_NANOS)).get();
            // A later task runs after another poll.
            group.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).get();

            assertThat(mMonitor.stalls()).isEqualTo(1);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
