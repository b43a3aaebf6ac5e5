package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Guards against a daemon that runs out of file descriptors while no metric shows it. */
final class OpenFilesTest {
    private static final int SOCKETS = 100;

    @Test
    void count_socketsAreOpened_countsThem() throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            int before = OpenFiles.count();
            for (int i = 0; i < SOCKETS; i++) {
                sockets.add(new ServerSocket(0));
            }

            // Other threads of the test process may close some files meanwhile.
            assertThat(OpenFiles.count()).isAtLeast(before + SOCKETS / 2);
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }
}
