package org.geraniumusher.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a daemon that takes itself for cut off, or its servers for lost, too easily. */
final class ServerReachTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int SERVERS = 10;

    private final ServerReach mReach = new ServerReach(0);

    private boolean update(int silent, long now) {
        return mReach.update(SERVERS, silent, now);
    }

    @Test
    void update_severalServersFailWithoutAnswer_isStrandedOnce() {
        mReach.onAnswer(SECOND);
        mReach.onFailure("a");
        mReach.onFailure("b");

        assertThat(update(0, SECOND + ServerReach.FAILING_NANOS - 1)).isFalse();
        assertThat(update(0, SECOND + ServerReach.FAILING_NANOS)).isTrue();
        assertThat(update(0, 2 * SECOND)).isFalse();
        assertThat(mReach.isStranded()).isTrue();
    }

    /** The loss of one server must not send all requests over a peer. */
    @Test
    void update_oneServerFailsOften_isNotStranded() {
        for (int i = 0; i < 10; i++) {
            mReach.onFailure("a");
        }

        assertThat(update(0, 10 * SECOND)).isFalse();
    }

    @Test
    void update_theOnlyServerFails_isStranded() {
        mReach.onFailure("a");

        assertThat(mReach.update(1, 0, SECOND)).isTrue();
    }

    /** Servers of a busy daemon that crash together leave others that answer. */
    @Test
    void update_othersAnswer_isNotStranded() {
        mReach.onFailure("a");
        mReach.onFailure("b");
        mReach.onAnswer(SECOND);

        assertThat(update(0, 3 * SECOND)).isFalse();
    }

    /** Connections from before a cut hang without an error. */
    @Test
    void update_severalServersOweAnswers_isStranded() {
        mReach.onAnswer(SECOND);

        assertThat(update(2, 4 * SECOND)).isFalse();
        assertThat(update(3, 2 * SECOND - 1)).isFalse();
        assertThat(update(3, 2 * SECOND)).isTrue();
    }

    /** Requests with short deadlines end before their servers count as silent. */
    @Test
    void update_deadlinesOfSeveralServersPassed_isStranded() {
        mReach.onDeadline("a");
        mReach.onDeadline("b");
        mReach.onDeadline("b");
        assertThat(update(0, 2 * SECOND)).isFalse();

        mReach.onDeadline("c");
        assertThat(update(0, 2 * SECOND)).isTrue();
    }

    @Test
    void onAnswer_stranded_isStrandedNoMore() {
        mReach.onFailure("a");
        mReach.onFailure("b");
        update(0, SECOND);

        assertThat(mReach.onAnswer(2 * SECOND)).isTrue();
        assertThat(mReach.isStranded()).isFalse();
        assertThat(mReach.onAnswer(2 * SECOND)).isFalse();
        assertThat(update(0, 4 * SECOND)).isFalse();
    }

    @Test
    void update_noRequests_isNotStranded() {
        assertThat(update(0, 1_000 * SECOND)).isFalse();
    }
}
