package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.io.IOException;

/** Guards against failed accepts of which no log line and no metric tells. */
final class AcceptFailuresTest {
    @Test
    void listener_acceptFails_isLoggedAndCounted() {
        DaemonContextFixture fixture = new DaemonContextFixture();
        DaemonContext context = fixture.createContext("entry-1");

        AcceptFailures.listener(context.log(), context.metrics(), "peers")
                .accept(new IOException("Too many open files"));

        assertThat(context.metrics().registry().counter("connections.accept_failed").getCount())
                .isEqualTo(1);
        assertThat(fixture.closeAndReadLog())
                .contains("\"Cannot accept a connection\",\"endpoint\":\"peers\"");
    }
}
