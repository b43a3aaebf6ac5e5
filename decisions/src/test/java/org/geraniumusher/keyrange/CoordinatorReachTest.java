package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;

import org.junit.jupiter.api.Test;

import java.util.Set;

/** Guards against a coordinator that takes its own cut for a loss of servers, and the reverse. */
final class CoordinatorReachTest {
    private static final long SECOND = 1_000_000_000L;
    private static final ImmutableSet<String> TWO = ImmutableSet.of("a", "b");
    private static final ImmutableSet<String> THREE = ImmutableSet.of("a", "b", "c");

    private final CoordinatorReach mReach = new CoordinatorReach();

    private boolean asks(int serverCount, Set<String> failing, long now) {
        return mReach.beginInquiryIfDue(serverCount, failing, now);
    }

    private void resign(long now) {
        assertThat(asks(4, THREE, now)).isTrue();
        mReach.onInquiryEnded(mReach.inquiry(), 1, 4, now);
        assertThat(mReach.shouldResign(now)).isTrue();
        mReach.onResigned(now);
    }

    /** One server that fails, or a few of many, are no sign of a cut of the coordinator. */
    @Test
    void begin_fewServersFail_isFalse() {
        assertThat(asks(2, ImmutableSet.of("a"), 0)).isFalse();
        assertThat(asks(5, TWO, 0)).isFalse();
        assertThat(mReach.holdsBackLosses(0)).isFalse();
    }

    @Test
    void begin_halfOfServersFail_holdsBackLossesUntilAnswer() {
        assertThat(asks(4, TWO, 0)).isTrue();
        assertThat(mReach.holdsBackLosses(SECOND / 2)).isTrue();

        mReach.onInquiryEnded(mReach.inquiry(), 2, 2, SECOND / 2);
        assertThat(mReach.holdsBackLosses(SECOND / 2)).isFalse();
        assertThat(mReach.shouldResign(SECOND / 2)).isFalse();
    }

    /** Without answers the ranges of lost servers would stay without owners. */
    @Test
    void holdsBackLosses_noAnswer_endsAfterLimit() {
        assertThat(asks(4, TWO, 0)).isTrue();

        assertThat(mReach.holdsBackLosses(CoordinatorReach.INQUIRY_LIMIT_NANOS)).isFalse();
    }

    @Test
    void shouldResign_peerReachesMore_isTrueAndNothingMovesMeanwhile() {
        assertThat(asks(4, THREE, 0)).isTrue();
        mReach.onInquiryEnded(mReach.inquiry(), 1, 4, SECOND / 2);

        assertThat(mReach.shouldResign(SECOND)).isTrue();
        assertThat(mReach.holdsBackLosses(SECOND)).isTrue();
    }

    /** A cut from a part of the servers is the same question. */
    @Test
    void shouldResign_peerReachesPartOfFailingServers_isTrue() {
        assertThat(asks(4, THREE, 0)).isTrue();
        mReach.onInquiryEnded(mReach.inquiry(), 1, 3, 0);

        assertThat(mReach.shouldResign(0)).isTrue();
    }

    /** A daemon that reaches no server cannot give any key an owner. */
    @Test
    void shouldResign_noServerIsReachedButPeerReachesOne_isTrue() {
        assertThat(asks(3, THREE, 0)).isTrue();
        mReach.onInquiryEnded(mReach.inquiry(), 0, 1, 0);

        assertThat(mReach.shouldResign(0)).isTrue();
    }

    @Test
    void shouldResign_nobodyReachesAny_isFalse() {
        assertThat(asks(3, THREE, 0)).isTrue();
        mReach.onInquiryEnded(mReach.inquiry(), 0, 0, 0);

        assertThat(mReach.shouldResign(0)).isFalse();
    }

    /** A packet that was lost once must not cost a change of the coordinator. */
    @Test
    void shouldResign_peerReachesOneMore_isFalse() {
        assertThat(asks(4, THREE, 0)).isTrue();
        mReach.onInquiryEnded(mReach.inquiry(), 1, 2, 0);

        assertThat(mReach.shouldResign(0)).isFalse();
    }

    /** Servers that accept connections and answer nothing fail at all daemons. */
    @Test
    void shouldResign_thisDaemonReachesAsManyAsPeer_isFalse() {
        assertThat(asks(4, THREE, 0)).isTrue();
        mReach.onInquiryEnded(mReach.inquiry(), 4, 4, 0);

        assertThat(mReach.shouldResign(0)).isFalse();
    }

    /** An answer about the past must not end a term. */
    @Test
    void shouldResign_answerIsLate_isFalse() {
        assertThat(asks(4, THREE, 0)).isTrue();
        long first = mReach.inquiry();
        mReach.onInquiryEnded(first, 0, 4, 2 * SECOND);
        assertThat(mReach.shouldResign(2 * SECOND)).isFalse();

        assertThat(asks(4, THREE, 6 * SECOND)).isTrue();
        mReach.onInquiryEnded(first, 0, 4, 6 * SECOND);
        assertThat(mReach.shouldResign(6 * SECOND)).isFalse();
    }

    /** A resignation that the store does not take must not hold back losses for ever. */
    @Test
    void shouldResign_resignationIsNotPossible_endsAfterLimit() {
        assertThat(asks(4, THREE, 0)).isTrue();
        mReach.onInquiryEnded(mReach.inquiry(), 1, 4, 0);

        assertThat(mReach.shouldResign(3 * SECOND)).isFalse();
        assertThat(mReach.holdsBackLosses(3 * SECOND)).isFalse();
    }

    @Test
    void begin_sameServersFail_asksAgainAfterPause() {
        assertThat(asks(4, TWO, 0)).isTrue();
        mReach.onInquiryEnded(mReach.inquiry(), 2, 2, 0);

        assertThat(asks(4, TWO, 4 * SECOND)).isFalse();
        assertThat(asks(4, TWO, 5 * SECOND)).isTrue();
    }

    @Test
    void begin_moreServersFail_asksSooner() {
        assertThat(asks(4, TWO, 0)).isTrue();
        mReach.onInquiryEnded(mReach.inquiry(), 2, 2, 0);

        assertThat(asks(4, THREE, 2 * SECOND)).isTrue();
    }

    /** A coordinator that nobody replaces must not resign time and again. */
    @Test
    void begin_afterResignations_pausesGrow() {
        resign(0);
        assertThat(asks(4, THREE, 19 * SECOND)).isFalse();
        resign(20 * SECOND);
        assertThat(asks(4, THREE, 59 * SECOND)).isFalse();
        resign(60 * SECOND);
        assertThat(asks(4, THREE, 139 * SECOND)).isFalse();
    }

    @Test
    void begin_longAfterResignation_pauseIsShortAgain() {
        resign(0);
        resign(1_000 * SECOND);

        assertThat(asks(4, THREE, 1_020 * SECOND)).isTrue();
    }

    @Test
    void onTermEnded_inquiryPending_isForgotten() {
        assertThat(asks(4, THREE, 0)).isTrue();
        mReach.onTermEnded();
        mReach.onInquiryEnded(mReach.inquiry(), 1, 4, 0);

        assertThat(mReach.shouldResign(0)).isFalse();
    }
}
