package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.keyrange.CoordinatorElection.FormerCoordinators;
import org.geraniumusher.model.StoreVersion;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** Guards against keys that stay without an owner while the entry of a lost server stays. */
final class ServerLossTest {
    private static final long MILLI = 1_000_000L;
    private static final long TICK = 100 * MILLI;

    /** Hold of 4 s by clocks that run 3% apart. */
    private static final long HOLD = 4_120 * MILLI;

    private final Servers mServers = new Servers();
    private final KeyLoad mLoad = KeyLoad.create(0);
    private final RangeCoordinator mCoordinator =
            RangeCoordinator.create(mServers, 10_000 * MILLI, mLoad, FormerHolders.create());
    private long mNow;

    /** Servers and a store that answer at once, and record the calls. */
    private final class Servers implements RangeCoordinator.OutgoingCalls {
        private final Set<String> mRefusing = new HashSet<>();
        private final Set<String> mSilent = new HashSet<>();
        private final List<Runnable> mAnswers = new ArrayList<>();
        private final List<Runnable> mGivenUp = new ArrayList<>();
        private final List<Long> mGivenUpAt = new ArrayList<>();
        private final List<Assignment> mAccepted = new ArrayList<>();
        private long mLastHoldEnd;
        private long mRevision = 10;
        private boolean mStoreIsSlow;

        @Override
        public void write(ImmutableList<Assignment> assignments, long expectedRevision) {
            if (!mStoreIsSlow) {
                mAnswers.add(() -> mCoordinator.onWritten(new StoreVersion(0, ++mRevision), mNow));
            }
        }

        @Override
        public void grant(Assignment assignment, long holdNanos, Optional<String> handover) {
            if (mRefusing.contains(assignment.owner())) {
                mAnswers.add(() -> mCoordinator.onGrantNotSent(assignment, mNow));
            } else if (mSilent.contains(assignment.owner())) {
                mLastHoldEnd = Math.max(mLastHoldEnd, HoldBounds.latestHoldEnd(mNow, holdNanos));
                mGivenUpAt.add(mNow + RangeCoordinator.GRANT_TIME_LIMIT_NANOS);
                mGivenUp.add(() -> mCoordinator.onGrantUnknown(assignment, mNow));
            } else {
                mAccepted.add(assignment);
                mAnswers.add(() -> mCoordinator.onGranted(assignment, mNow));
            }
        }

        @Override
        public void release(String incarnationId, KeyRange range, long fence) {
            if (mRefusing.contains(incarnationId) || mSilent.contains(incarnationId)) {
                mAnswers.add(
                        () -> mCoordinator.onReleaseUnknown(incarnationId, range, fence, mNow));
            } else {
                mAnswers.add(
                        () ->
                                mCoordinator.onReleased(
                                        incarnationId, range, fence, Optional.empty()));
            }
        }

        private void answer() {
            while (!mGivenUpAt.isEmpty() && mGivenUpAt.get(0) <= mNow) {
                mGivenUpAt.remove(0);
                mGivenUp.remove(0).run();
            }
            List<Runnable> answers = List.copyOf(mAnswers);
            mAnswers.clear();
            answers.forEach(Runnable::run);
        }
    }

    private void start(String... incarnationIds) {
        mCoordinator.onServers(
                Stream.of(incarnationIds).map(id -> new RangeServer(id, 6, true)).toList());
        mCoordinator.start(Optional.empty(), new FormerCoordinators(0, 0), mNow);
        run(500 * MILLI);
        assertThat(owners()).containsExactlyElementsIn(incarnationIds);
    }

    private void run(long nanos) {
        for (long end = mNow + nanos; mNow < end; mNow += TICK) {
            mServers.answer();
            mCoordinator.tick(mNow);
            mServers.answer();
        }
    }

    private Set<String> owners() {
        Set<String> owners = new HashSet<>();
        mCoordinator.table().orElseThrow().assignments().forEach(a -> owners.add(a.owner()));
        return owners;
    }

    /** The keys must move when the hold has run out, and not before. */
    @Test
    void tick_grantsAreRefused_keysMoveWhenTheHoldHasRunOut() {
        start("a", "b");
        mServers.mRefusing.add("a");

        // The last grant before was answered within the interval of renewals.
        run(HOLD - 1_100 * MILLI);
        assertThat(owners()).containsExactly("a", "b");

        run(1_100 * MILLI + 3 * TICK);
        assertThat(owners()).containsExactly("b");
    }

    /** Each grant without an answer put off the end of the hold, which so never came. */
    @Test
    void tick_grantsGetNoAnswer_keysMoveWhenTheHoldOfTheFirstHasRunOut() {
        start("a", "b");
        mServers.mSilent.add("a");
        long firstEnds = mNow + 1_100 * MILLI + HoldBounds.latestHoldEnd(0, 4_000 * MILLI);

        run(firstEnds - mNow + 3 * TICK);

        assertThat(mServers.mLastHoldEnd).isAtMost(firstEnds);
        assertThat(owners()).containsExactly("b");
    }

    /** A server that is lost must not get keys before it answers again. */
    @Test
    void tick_lostServerRefusesOn_getsNoKeys() {
        start("a", "b");
        mServers.mRefusing.add("a");
        run(6_000 * MILLI);

        for (int i = 0; i < 200; i++) {
            mLoad.add(i % 40, 0.5, mNow);
            run(TICK);
            assertThat(owners()).containsExactly("b");
        }
    }

    /** A server that answers again must serve again. */
    @Test
    void tick_lostServerAnswersAgain_getsKeysAfterThePause() {
        start("a", "b");
        mServers.mRefusing.add("a");
        run(6_000 * MILLI);
        mServers.mRefusing.clear();
        for (int i = 0; i < 40; i++) {
            mLoad.add(i, 2, mNow);
        }

        run(900 * MILLI);
        assertThat(owners()).containsExactly("b");

        run(3_000 * MILLI);
        assertThat(owners()).containsExactly("a", "b");
    }

    /** The pause grows from 1 s to 30 s, which bounds the moves to a server that comes and goes. */
    @Test
    void tick_serverComesAndGoes_movesBecomeRare() {
        start("a", "b");
        int losses = 0;
        boolean wasOwner = true;
        for (int step = 0; step < 600; step++) {
            // It answers for as long as it has no keys, and refuses once it has some.
            mServers.mRefusing.clear();
            if (owners().contains("a")) {
                mServers.mRefusing.add("a");
            }
            for (int i = 0; i < 40; i++) {
                mLoad.add(i, 0.05, mNow);
            }
            run(1_000 * MILLI);
            boolean isOwner = owners().contains("a");
            losses += wasOwner && !isOwner ? 1 : 0;
            wasOwner = isOwner;
        }

        // 5 pauses from 1 s to 16 s, then one of 30 s each in 600 s.
        assertThat(losses).isAtLeast(2);
        assertThat(losses).isAtMost(5 + 600 / 30);
    }

    /** A coordinator that reaches no server must not move keys, and must grant them again. */
    @Test
    void tick_noServerIsReached_tableStaysAndIsGrantedOnceTheyAnswer() {
        start("a", "b");
        RangeTable before = mCoordinator.table().orElseThrow();
        mServers.mRefusing.addAll(List.of("a", "b"));

        run(20_000 * MILLI);
        assertThat(mCoordinator.table().orElseThrow()).isSameInstanceAs(before);

        mServers.mRefusing.clear();
        List<Assignment> recovered = new ArrayList<>();
        mCoordinator.setHoldListener(new RecordingListener(recovered));
        run(1_500 * MILLI);
        assertThat(recovered).containsExactlyElementsIn(before.assignments());
    }

    /** While it is open who is cut off, keys must not move, and must recover once it is known. */
    @Test
    void tick_lossesAreHeldBack_keysMoveOnlyAfterwards() {
        start("a", "b");
        mServers.mRefusing.add("a");
        mCoordinator.setLossesHeldBack(true);
        run(10_000 * MILLI);
        assertThat(owners()).containsExactly("a", "b");
        assertThat(mCoordinator.failingServers()).containsExactly("a");

        mCoordinator.setLossesHeldBack(false);
        run(3 * TICK);
        assertThat(owners()).containsExactly("b");
        assertThat(mCoordinator.failingServers()).containsExactly("a");
    }

    /** The time without an owner must be told when the next one has accepted the range. */
    @Test
    void tick_ownerIsLost_listenerHearsOfLossAndRecovery() {
        start("a", "b");
        List<Assignment> recovered = new ArrayList<>();
        RecordingListener listener = new RecordingListener(recovered);
        mCoordinator.setHoldListener(listener);
        mServers.mRefusing.add("a");

        run(6_000 * MILLI);

        assertThat(listener.mLost).isEqualTo(1);
        assertThat(recovered.stream().map(Assignment::owner).distinct().toList())
                .containsExactly("b");
        // From the first refused renewal, 1 s after the last grant that was accepted.
        assertThat(listener.mLostNanos).isAtLeast(HOLD - 1_200 * MILLI);
        assertThat(listener.mLostNanos).isAtMost(HOLD - 800 * MILLI);
    }

    private void runUntilNextOwnersAreNamed() {
        long end = mNow + 4_000 * MILLI;
        while (mCoordinator.nextOwners(mNow).isEmpty()) {
            assertThat(mNow).isLessThan(end);
            run(TICK);
        }
    }

    private void assertKeysMoveNotBeforeNamedTime() {
        runUntilNextOwnersAreNamed();
        List<NextOwner> named = mCoordinator.nextOwners(mNow);
        // The first grant that fails, and a second of failures.
        assertThat(named.get(0).notBefore() - mNow).isAtLeast(2_000 * MILLI);
        Assignment lost =
                mCoordinator.table().orElseThrow().assignments().stream()
                        .filter(a -> a.range().first() == named.get(0).firstKey())
                        .findFirst()
                        .orElseThrow();
        assertThat(named.get(0).fence()).isEqualTo(lost.fence());

        mServers.mAccepted.clear();
        while (mServers.mAccepted.stream().noneMatch(g -> g.range().overlaps(lost.range()))) {
            assertThat(mNow).isLessThan(named.get(0).notBefore() + 1_500 * MILLI);
            run(TICK);
        }
        assertThat(mNow).isAtLeast(named.get(0).notBefore());
        run(TICK);
        assertThat(mCoordinator.nextOwners(mNow)).isEmpty();
    }

    /** Requests for the keys waited in vain, and came back at once since nothing said when to. */
    @Test
    void nextOwners_grantsAreRefused_namesTimeThatIsNotTooLate() {
        start("a", "b");
        mServers.mRefusing.add("a");

        assertKeysMoveNotBeforeNamedTime();
    }

    @Test
    void nextOwners_grantsGetNoAnswer_namesTimeThatIsNotTooLate() {
        start("a", "b");
        mServers.mSilent.add("a");

        assertKeysMoveNotBeforeNamedTime();
    }

    /** The table names the next owner at once, which waits for the hold. */
    @Test
    void nextOwners_entryOfSilentServerIsGone_namesTimeThatIsNotTooLate() {
        start("a", "b");
        mServers.mSilent.add("a");
        run(1_700 * MILLI);
        mCoordinator.onServers(ImmutableList.of(new RangeServer("b", 6, true)));

        assertKeysMoveNotBeforeNamedTime();
    }

    /** A server may answer a release late, when its work on the range is done. */
    @Test
    void nextOwners_releaseOfServerWhoseGrantsSucceededGetsNoAnswer_namesNothing() {
        start("a", "b");
        mServers.mRefusing.add("a");
        mCoordinator.onServers(
                ImmutableList.of(new RangeServer("a", 6, false), new RangeServer("b", 6, true)));

        run(2_000 * MILLI);

        assertThat(owners()).containsExactly("b");
        assertThat(mCoordinator.nextOwners(mNow)).isEmpty();
    }

    /** What was known of the owner must be known of the former holder as well. */
    @Test
    void nextOwners_entryGoesWhenTimeIsNamed_namesItOn() {
        start("a", "b");
        mServers.mRefusing.add("a");
        runUntilNextOwnersAreNamed();
        NextOwner named = mCoordinator.nextOwners(mNow).get(0);

        mCoordinator.onServers(ImmutableList.of(new RangeServer("b", 6, true)));
        run(2 * TICK);

        assertThat(owners()).containsExactly("b");
        assertThat(mCoordinator.nextOwners(mNow)).isNotEmpty();
        mCoordinator
                .nextOwners(mNow)
                .forEach(o -> assertThat(o.notBefore()).isEqualTo(named.notBefore()));
    }

    /** A single failure must not have requests rejected: the owner may answer the next grant. */
    @Test
    void nextOwners_grantsFailShortly_namesNothing() {
        start("a", "b");
        mServers.mRefusing.add("a");
        run(1_100 * MILLI);
        mServers.mRefusing.clear();

        for (int i = 0; i < 50; i++) {
            assertThat(mCoordinator.nextOwners(mNow)).isEmpty();
            run(TICK);
        }
    }

    @Test
    void nextOwners_ownerAnswersAgain_namesNothing() {
        start("a", "b");
        mServers.mRefusing.add("a");
        runUntilNextOwnersAreNamed();
        mServers.mRefusing.clear();

        run(500 * MILLI);

        assertThat(mCoordinator.nextOwners(mNow)).isEmpty();
    }

    @Test
    void nextOwners_ownerIsProvedTerminated_namesNothing() {
        start("a", "b");
        mServers.mRefusing.add("a");
        runUntilNextOwnersAreNamed();

        mCoordinator.onTerminated("a");

        assertThat(mCoordinator.nextOwners(mNow)).isEmpty();
    }

    /** The former holder of a planned move releases the range at any moment. */
    @Test
    void nextOwners_rangesMoveFromServerThatAnswers_namesNothing() {
        start("a", "b");
        mCoordinator.onServers(
                ImmutableList.of(new RangeServer("a", 6, false), new RangeServer("b", 6, true)));

        for (int i = 0; i < 50; i++) {
            assertThat(mCoordinator.nextOwners(mNow)).isEmpty();
            run(TICK);
        }
        assertThat(owners()).containsExactly("b");
    }

    /**
     * A grant that was refused is not named as a hold when the range moves. A grant that reaches
     * the server while the move is being written would be unknown to the next owner.
     */
    @Test
    void tick_firstGrantWasRefusedAndMoveIsBeingWritten_ownerGetsNoGrant() {
        mServers.mRefusing.add("a");
        start("a");
        mServers.mStoreIsSlow = true;
        mCoordinator.onServers(
                ImmutableList.of(new RangeServer("a", 6, false), new RangeServer("b", 6, true)));
        run(TICK);
        mServers.mRefusing.clear();

        run(1_000 * MILLI);

        assertThat(mServers.mAccepted).isEmpty();
    }

    /** Records what the coordinator tells of owners. */
    private static final class RecordingListener implements HoldListener {
        private final List<Assignment> mRecovered;
        private int mLost;
        private long mLostNanos;

        RecordingListener(List<Assignment> recovered) {
            mRecovered = recovered;
        }

        @Override
        public void onHoldEnded(String incarnationId, Assignment assignment, HoldEnd end) {}

        @Override
        public void onOwnerLost(Assignment assignment) {
            mLost++;
        }

        @Override
        public void onOwnerReturned(String incarnationId) {}

        @Override
        public void onRecovered(Assignment assignment, long lostNanos) {
            mRecovered.add(assignment);
            mLostNanos = lostNanos;
        }
    }
}
