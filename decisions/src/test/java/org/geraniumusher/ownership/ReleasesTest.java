package org.geraniumusher.ownership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.ShardState;
import org.geraniumusher.model.Slice;
import org.junit.jupiter.api.Test;

import java.util.List;

/**
 * Guards against a release by an acknowledgement that the previous owner may have forgotten: one
 * that was given while some member still used an older version.
 */
class ReleasesTest {
    private static final MemberId D1 = new MemberId("d1", 1);
    private static final MemberId D2 = new MemberId("d2", 1);
    private static final MemberId D3 = new MemberId("d3", 1);
    private static final long LAPSE = OwnershipTimes.lapseNanos(true);

    private final Fences mFences = new Fences(D1, id -> false);
    private final Servers mServers = new Servers();
    private final Releases mReleases = new Releases(mFences, mServers);
    private final Slice mSlice = new Slice(0, -1, "s1", 5, "s0", "");

    private void learnMove() {
        mServers.setRoles(0, List.of(new ServerRole("s0", true, true)));
        VersionedState state =
                new VersionedState(
                        9,
                        new ShardState(
                                "catalogue",
                                1,
                                D1.toString(),
                                List.of(D2.toString(), D3.toString()),
                                ImmutableList.of(),
                                5,
                                List.of(mSlice)));
        mFences.begin(0, state);
        mReleases.adopt(0, state);
    }

    private void acknowledgeRelease(long now) {
        mServers.get("s0").onStatus(now, 1, now);
        mServers.get("s0").onGrantAck(new GrantAck("catalogue", 1, 9, now));
    }

    @Test
    void isReleased_acknowledgedBeforeAllMembers_waitsForSecondAcknowledgement() {
        learnMove();
        mFences.acknowledge(1, D2, 9);
        acknowledgeRelease(2);
        mFences.acknowledge(3, D3, 9);
        assertThat(mReleases.isReleased(4, mSlice)).isFalse();
        assertThat(mReleases.hurriedServer(4, mSlice)).hasValue("s0");
        acknowledgeRelease(5);
        assertThat(mReleases.isReleased(5, mSlice)).isTrue();
    }

    @Test
    void isReleased_oneMemberSilent_acknowledgementAndLapseNeeded() {
        learnMove();
        mFences.acknowledge(1, D2, 9);
        acknowledgeRelease(2);
        assertThat(mReleases.isReleased(LAPSE, mSlice)).isFalse();
        assertThat(mReleases.isReleased(LAPSE + 1, mSlice)).isTrue();
    }

    @Test
    void isReleased_previousOwnerAnswersButRunsRequests_neverByLapse() {
        learnMove();
        mFences.acknowledge(1, D2, 9);
        mServers.get("s0").onStatus(LAPSE, 1, LAPSE);
        mReleases.hurriedServer(LAPSE + 1, mSlice);
        assertThat(mReleases.isReleased(LAPSE + 1, mSlice)).isFalse();
    }

    @Test
    void isReleased_previousOwnerLost_afterLapse() {
        learnMove();
        mReleases.hurriedServer(OwnershipTimes.SILENCE_NANOS, mSlice);
        mFences.acknowledge(OwnershipTimes.SILENCE_NANOS, D2, 9);
        long lapsed = OwnershipTimes.SILENCE_NANOS + LAPSE;
        assertThat(mReleases.isReleased(lapsed - 1, mSlice)).isFalse();
        assertThat(mReleases.isReleased(lapsed, mSlice)).isTrue();
    }

    @Test
    void isReleased_unfencedServerAcknowledges_onlyAfterLeases() {
        learnMove();
        mServers.setRoles(0, List.of(new ServerRole("s0", false, true)));
        mFences.acknowledge(1, D2, 9);
        mFences.acknowledge(1, D3, 9);
        acknowledgeRelease(2);
        long lapsed = 1 + OwnershipTimes.lapseNanos(false);
        assertThat(mReleases.isReleased(lapsed - 1, mSlice)).isFalse();
        assertThat(mReleases.isReleased(lapsed, mSlice)).isTrue();
    }

    @Test
    void isReleased_noMajority_never() {
        learnMove();
        mReleases.hurriedServer(OwnershipTimes.SILENCE_NANOS, mSlice);
        assertThat(mReleases.isReleased(100 * LAPSE, mSlice)).isFalse();
    }
}
