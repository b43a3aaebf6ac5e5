package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.CharMatcher;

import org.junit.jupiter.api.Test;

import java.util.HashSet;
import java.util.Set;

/** Guards against two requests with the same ID, whose responses could be mixed up. */
final class RequestIdsTest {
    private static final long START_MILLIS = 1_773_228_324_326L;
    private static final int REQUESTS = 300;

    private final Set<String> mSeen = new HashSet<>();

    private void assertNew(RequestIds ids) {
        for (int i = 0; i < REQUESTS; i++) {
            String id = ids.next();
            assertThat(mSeen.add(id)).isTrue();
            assertThat(CharMatcher.inRange('!', '~').matchesAllOf(id)).isTrue();
        }
    }

    /** An operator must find the daemon of a request by its ID alone. */
    @Test
    void next_usualName_startsWithTheName() {
        assertThat(RequestIds.create("entry-0", START_MILLIS).next()).startsWith("entry-0-");
    }

    @Test
    void next_otherDaemons_areDifferent() {
        // Names that an ambiguous separator would mix up are included.
        for (String name : new String[] {"a", "a-1", "a-1-1", "b", "a b", "a_b", "a%20b", "é\n"}) {
            assertNew(RequestIds.create(name, 1));
            assertNew(RequestIds.create(name, 0x11));
        }
    }

    /** The count starts again with each run, so the start must tell the runs apart. */
    @Test
    void next_daemonRestarts_areDifferent() {
        for (int i = 0; i < 20; i++) {
            assertNew(RequestIds.create("entry-0", START_MILLIS + i));
        }
    }
}
