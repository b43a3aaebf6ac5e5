package org.geraniumusher.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;

import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Guards against a daemon that accepts no caller for a second after one failed accept. */
final class AcceptFailureHandlerTest {
    private final List<Throwable> mFailures = new ArrayList<>();
    private final EmbeddedChannel mChannel =
            new EmbeddedChannel(new AcceptFailureHandler(mFailures::add));

    @Test
    void exceptionCaught_acceptFailed_isReportedAndAcceptsAgainSoon() {
        IOException failure = new IOException("Too many open files");
        mChannel.freezeTime();

        mChannel.pipeline().fireExceptionCaught(failure);

        assertThat(mFailures).containsExactly(failure);
        assertThat(mChannel.config().isAutoRead()).isFalse();
        mChannel.advanceTimeBy(AcceptFailureHandler.PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
        assertThat(mChannel.config().isAutoRead()).isTrue();
    }

    /** The acceptor of Netty, which comes behind, would pause for its second. */
    @Test
    void exceptionCaught_acceptFailed_isNotPassedOn() {
        mChannel.pipeline().fireExceptionCaught(new IOException("Too many open files"));

        mChannel.checkException();
    }
}
