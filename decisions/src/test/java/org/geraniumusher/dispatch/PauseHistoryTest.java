package org.geraniumusher.dispatch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.junit.jupiter.api.Test;

/** Guards against requests to a paused server whose entry expired and was written again. */
final class PauseHistoryTest {
    private static final long SECOND = 1_000_000_000L;

    private final PauseHistory mHistory = new PauseHistory();

    private static ServerPause pause(String seconds, long nowNanos) {
        ServerPause pause = new ServerPause();
        pause.onUnavailable(ImmutableList.of(seconds), nowNanos);
        return pause;
    }

    @Test
    void onListed_removedWhilePaused_isPausedUntilTheSameTime() {
        mHistory.onRemoved("a@1", pause("30", 0), SECOND);

        assertThat(mHistory.onListed("a@1").endNanos(2 * SECOND)).isEqualTo(30 * SECOND);
    }

    /** The next life of the server starts without a pause. */
    @Test
    void onListed_otherIncarnation_hasNoPause() {
        mHistory.onRemoved("a@1", pause("30", 0), SECOND);

        assertThat(mHistory.onListed("a@2").isActive(2 * SECOND)).isFalse();
    }

    /** An answer to a request that was sent before the removal may come after it. */
    @Test
    void onListed_pauseChangedAfterTheRemoval_isTheChangedOne() {
        ServerPause pause = new ServerPause();
        mHistory.onRemoved("a@1", pause, 0);
        pause.onUnavailable(ImmutableList.of("30"), SECOND);

        assertThat(mHistory.onListed("a@1").endNanos(2 * SECOND)).isEqualTo(31 * SECOND);
    }

    /** Servers that come and go must not use up the memory, nor end the pause of another one. */
    @Test
    void onRemoved_manyIncarnations_keepsThePausedOnes() {
        mHistory.onRemoved("a@1", pause("30", 0), 0);
        for (int i = 0; i < 10 * PauseHistory.MAX_INCARNATIONS; i++) {
            mHistory.onRemoved("b@" + i, new ServerPause(), SECOND);
        }

        assertThat(mHistory.onListed("a@1").isActive(SECOND)).isTrue();
    }

    @Test
    void onRemoved_morePausedIncarnationsThanAreKept_forgetsTheOldest() {
        for (int i = 0; i <= PauseHistory.MAX_INCARNATIONS; i++) {
            mHistory.onRemoved("b@" + i, pause("30", 0), 0);
        }

        assertThat(mHistory.onListed("b@0").isActive(SECOND)).isFalse();
        assertThat(mHistory.onListed("b@1").isActive(SECOND)).isTrue();
    }
}
