package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** Guards against answers from before a restore of the store that are taken for current ones. */
final class StoreEpochTest {
    private final DaemonContextFixture mFixture = new DaemonContextFixture();
    private final StoreEpoch mEpoch = mFixture.store().epoch();
    private final List<Long> mHeard = new ArrayList<>();

    @AfterEach
    void closeFixture() {
        mFixture.close();
    }

    @Test
    void observe_epochRises_listenersRunOnceBeforeItReturns() {
        mEpoch.addListener(() -> mHeard.add(mEpoch.current()));

        assertThat(mEpoch.observe(1)).isTrue();
        assertThat(mEpoch.hasRisen()).isFalse();
        assertThat(mEpoch.mayBeRestored()).isFalse();
        assertThat(mHeard).isEmpty();
        assertThat(mEpoch.observe(3)).isTrue();
        assertThat(mEpoch.observe(3)).isTrue();

        assertThat(mHeard).containsExactly(3L);
        assertThat(mEpoch.hasRisen()).isTrue();
    }

    /**
     * A daemon that starts after a restore cannot take a missing record for that of a new store.
     */
    @Test
    void mayBeRestored_firstEpochSeenIsHigh_isTrue() {
        mEpoch.observe(2);

        assertThat(mEpoch.mayBeRestored()).isTrue();
        assertThat(mEpoch.hasRisen()).isFalse();
    }

    /**
     * A daemon that started while the store was away told others the epoch 0. They took the first
     * answer of the store for one after a restore and waited for the holds of lost coordinators.
     */
    @Test
    void observe_unknownEpochThenFirst_isNoRise() {
        mEpoch.addListener(() -> mHeard.add(mEpoch.current()));

        assertThat(mEpoch.observe(0)).isTrue();
        assertThat(mEpoch.observe(1)).isTrue();

        assertThat(mHeard).isEmpty();
        assertThat(mEpoch.hasRisen()).isFalse();
        assertThat(mEpoch.mayBeRestored()).isFalse();
    }

    @Test
    void observe_unknownEpochThenHigh_mayBeRestoredWithoutRise() {
        assertThat(mEpoch.observe(0)).isTrue();
        assertThat(mEpoch.observe(2)).isTrue();

        assertThat(mEpoch.hasRisen()).isFalse();
        assertThat(mEpoch.mayBeRestored()).isTrue();
    }

    @Test
    void observe_listenerFails_othersRun() {
        mEpoch.addListener(
                () -> {
                    throw new IllegalStateException("listener fails");
                });
        mEpoch.addListener(() -> mHeard.add(mEpoch.current()));
        mEpoch.observe(1);

        assertThat(mEpoch.observe(2)).isTrue();

        assertThat(mHeard).containsExactly(2L);
    }

    @Test
    void observe_earlierEpoch_isFalseAndCounted() {
        mEpoch.observe(2);

        assertThat(mEpoch.observe(1)).isFalse();

        assertThat(mEpoch.current()).isEqualTo(2);
        assertThat(mEpoch.droppedAnswers()).isEqualTo(1);
    }
}
