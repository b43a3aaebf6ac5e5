package org.geraniumusher.dispatch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.junit.jupiter.api.Test;

/**
 * Guards against requests to a server that wants none or few, after its entry expired and was
 * written again.
 */
final class NeedsHistoryTest {
    private static final long SECOND = 1_000_000_000L;

    private final NeedsHistory mHistory = new NeedsHistory();

    private static StatedNeeds pause(String seconds, long nowNanos) {
        StatedNeeds needs = StatedNeeds.none(0);
        needs.pause().onUnavailable(ImmutableList.of(seconds), nowNanos);
        return needs;
    }

    private StatedNeeds list(String incarnationId) {
        return mHistory.onListed(incarnationId, 0);
    }

    /** The daemon has passed on the limit, so it has to keep it. */
    @Test
    void onListed_removedWhileLimited_isLimited() {
        StatedNeeds needs = StatedNeeds.none(0);
        needs.gate().limit().onAnswer(ImmutableList.of("2"), 0, SECOND);
        mHistory.onRemoved("a@1", needs, SECOND);

        assertThat(list("a@1").gate().isOpen(2 * SECOND)).isFalse();
        assertThat(list("a@2").gate().isOpen(2 * SECOND)).isTrue();
    }

    @Test
    void onListed_removedWhilePaused_isPausedUntilTheSameTime() {
        mHistory.onRemoved("a@1", pause("30", 0), SECOND);

        assertThat(list("a@1").pause().endNanos(2 * SECOND)).isEqualTo(30 * SECOND);
    }

    /** The next life of the server starts without a pause. */
    @Test
    void onListed_otherIncarnation_hasNoPause() {
        mHistory.onRemoved("a@1", pause("30", 0), SECOND);

        assertThat(list("a@2").isActive(2 * SECOND)).isFalse();
    }

    /** An answer to a request that was sent before the removal may come after it. */
    @Test
    void onListed_pauseChangedAfterTheRemoval_isTheChangedOne() {
        StatedNeeds needs = StatedNeeds.none(0);
        mHistory.onRemoved("a@1", needs, 0);
        needs.pause().onUnavailable(ImmutableList.of("30"), SECOND);

        assertThat(list("a@1").pause().endNanos(2 * SECOND)).isEqualTo(31 * SECOND);
    }

    /** Servers that come and go must not use up the memory, nor end the pause of another one. */
    @Test
    void onRemoved_manyIncarnations_keepsThePausedOnes() {
        mHistory.onRemoved("a@1", pause("30", 0), 0);
        for (int i = 0; i < 10 * NeedsHistory.MAX_INCARNATIONS; i++) {
            mHistory.onRemoved("b@" + i, StatedNeeds.none(0), SECOND);
        }

        assertThat(list("a@1").isActive(SECOND)).isTrue();
    }

    @Test
    void onRemoved_morePausedIncarnationsThanAreKept_forgetsTheOldest() {
        for (int i = 0; i <= NeedsHistory.MAX_INCARNATIONS; i++) {
            mHistory.onRemoved("b@" + i, pause("30", 0), 0);
        }

        assertThat(list("b@0").isActive(SECOND)).isFalse();
        assertThat(list("b@1").isActive(SECOND)).isTrue();
    }
}
