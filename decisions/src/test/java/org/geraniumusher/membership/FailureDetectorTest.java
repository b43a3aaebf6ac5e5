package org.geraniumusher.membership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.membership.MembershipCommand.Changed;
import org.geraniumusher.membership.MembershipCommand.Reason;
import org.geraniumusher.membership.MembershipCommand.Send;
import org.geraniumusher.membership.MembershipMessage.Probe;
import org.geraniumusher.membership.MembershipMessage.ProbeAck;
import org.geraniumusher.membership.MembershipMessage.ProbeRequest;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Guards against a stale incarnation that revives a dead member, a certain end that is not
 * reported, a suspicion that survives the daemon's own pause, probes answered for another daemon,
 * and updates repeated without bound.
 */
class FailureDetectorTest {
    private static final long MILLIS = 1_000_000;
    private static final Member SELF = SimulatedNetwork.member("d0", 1_000);
    private static final Member OTHER = SimulatedNetwork.member("d1", 2_000);
    private static final Member THIRD = SimulatedNetwork.member("d2", 3_000);

    private final FailureDetector mDetector =
            FailureDetector.create(SELF, DetectorSettings.DEFAULT, 1);

    @Test
    void onMessage_staleIncarnation_doesNotReviveDead() {
        hear(OTHER);
        mDetector.onInstanceGone(0, OTHER.name());
        hear(SimulatedNetwork.member("d1", 1_999));
        hear(OTHER);
        assertThat(stateOf(OTHER)).isEqualTo(MemberState.DEAD);
        hear(SimulatedNetwork.member("d1", 2_001));
        assertThat(stateOf(OTHER)).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void onMessage_deadMemberRefutes_aliveAgain() {
        hear(OTHER);
        mDetector.onInstanceGone(0, OTHER.name());
        List<MembershipCommand> commands =
                hear(new MemberUpdate(OTHER, 1, MemberState.ALIVE), ImmutableList.of());
        assertThat(commands).contains(new Changed(OTHER, MemberState.ALIVE, Reason.REFUTED));
    }

    @Test
    void onInstanceGone_deadBefore_reasonReported() {
        hear(OTHER);
        Changed gone = new Changed(OTHER, MemberState.DEAD, Reason.INSTANCE_GONE);
        assertThat(mDetector.onInstanceGone(0, OTHER.name())).containsExactly(gone);
        assertThat(mDetector.onInstanceGone(0, OTHER.name())).containsExactly(gone);
    }

    @Test
    void onMessage_leftMember_neverComesBackInItsIncarnation() {
        hear(OTHER);
        hear(new MemberUpdate(OTHER, 0, MemberState.LEFT), ImmutableList.of());
        hear(new MemberUpdate(OTHER, 9, MemberState.ALIVE), ImmutableList.of());
        assertThat(stateOf(OTHER)).isEqualTo(MemberState.LEFT);
    }

    @Test
    void onMessage_doubtAboutSelf_refutesInSameIncarnation() {
        MemberUpdate doubt = new MemberUpdate(SELF, 4, MemberState.SUSPECT);
        hear(MemberUpdate.of(OTHER), ImmutableList.of(doubt));
        assertThat(mDetector.find(SELF.name()))
                .hasValue(new MemberUpdate(SELF, 5, MemberState.ALIVE));
    }

    @Test
    void onTick_noAnswer_asksOthersThenSuspectsThenDead() {
        hear(OTHER);
        hear(THIRD);
        Probe probe = sent(mDetector.onTick(0), Probe.class).get(0);
        List<ProbeRequest> requests = sent(mDetector.onTick(200 * MILLIS), ProbeRequest.class);
        assertThat(requests).hasSize(1);
        assertThat(requests.get(0).target().name()).isEqualTo(probe.target());
        assertThat(states(tickTo500(300))).containsExactly(MemberState.SUSPECT);
        boolean dead = false;
        for (int i = 2; i <= 5; i++) {
            dead |= states(mDetector.onTick(i * 500 * MILLIS)).contains(MemberState.DEAD);
        }
        assertThat(dead).isTrue();
    }

    @Test
    void onTick_indirectAnswer_noSuspicion() {
        hear(OTHER);
        hear(THIRD);
        Probe probe = sent(mDetector.onTick(0), Probe.class).get(0);
        mDetector.onTick(200 * MILLIS);
        Member helper = probe.target().equals("d1") ? THIRD : OTHER;
        ProbeAck ack =
                new ProbeAck(MemberUpdate.of(helper), probe.sequence(), 0, ImmutableList.of());
        mDetector.onMessage(300 * MILLIS, ack);
        assertThat(states(tickTo500(300))).isEmpty();
    }

    @Test
    void onTick_ownPause_dropsSuspicionBeforeActing() {
        hear(OTHER);
        mDetector.onTick(0);
        assertThat(states(tickTo500(100))).containsExactly(MemberState.SUSPECT);
        List<MembershipCommand> commands = mDetector.onTick(9_000 * MILLIS);
        assertThat(commands).contains(new Changed(OTHER, MemberState.ALIVE, Reason.OWN_PAUSE));
        assertThat(states(commands)).doesNotContain(MemberState.DEAD);
    }

    @Test
    void onTick_ownDelayWithinPeriod_noSuspicion() {
        hear(OTHER);
        mDetector.onTick(0);
        assertThat(states(tickTo500(400))).isEmpty();
    }

    @Test
    void onMessage_probeForAnotherName_notAnswered() {
        Probe probe = new Probe(MemberUpdate.of(OTHER), 1, "d9", ImmutableList.of());
        assertThat(mDetector.onMessage(0, probe).stream().noneMatch(c -> c instanceof Send))
                .isTrue();
    }

    @Test
    void take_updateSentOften_leavesQueue() {
        UpdateQueue queue = new UpdateQueue();
        queue.add(MemberUpdate.of(OTHER));
        for (int i = 0; i < 8; i++) {
            assertThat(queue.take(800, 8)).hasSize(1);
        }
        assertThat(queue.take(800, 8)).isEmpty();
        assertThat(queue.held()).isEmpty();
    }

    /** Ticks every 100 ms and returns the commands of the last tick, at 500 ms. */
    private List<MembershipCommand> tickTo500(int fromMillis) {
        for (int millis = fromMillis; millis < 500; millis += 100) {
            mDetector.onTick(millis * MILLIS);
        }
        return mDetector.onTick(500 * MILLIS);
    }

    private void hear(Member member) {
        hear(MemberUpdate.of(member), ImmutableList.of());
    }

    private List<MembershipCommand> hear(MemberUpdate sender, ImmutableList<MemberUpdate> others) {
        return mDetector.onMessage(0, new ProbeAck(sender, 0, 0, others));
    }

    private MemberState stateOf(Member member) {
        return mDetector.find(member.name()).orElseThrow().state();
    }

    private static <T> List<T> sent(List<MembershipCommand> commands, Class<T> type) {
        Stream<Send> sends = commands.stream().filter(c -> c instanceof Send).map(c -> (Send) c);
        return sends.map(Send::message)
                .filter(type::isInstance)
                .map(type::cast)
                .collect(Collectors.toList());
    }

    private static List<MemberState> states(List<MembershipCommand> commands) {
        return commands.stream()
                .filter(c -> c instanceof Changed)
                .map(c -> ((Changed) c).state())
                .collect(Collectors.toList());
    }
}
