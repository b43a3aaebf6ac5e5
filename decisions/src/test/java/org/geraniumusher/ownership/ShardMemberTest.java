package org.geraniumusher.ownership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import static org.geraniumusher.ownership.Simulation.MILLIS;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.ShardState;
import org.geraniumusher.model.Slice;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Guards against two owners, stopped renewals and keys without an owner after each single failure
 * of the design page. Each step of a simulation checks that no slice has two owners.
 */
class ShardMemberTest {
    private static final long LOSS_BOUND_NANOS = 2_000 * MILLIS;

    private static Simulation serving(long seed, int members, int servers) {
        Simulation simulation = new Simulation(seed, members, servers);
        simulation.runUntil("first owners", 5_000 * MILLIS, simulation::isFullyServed);
        simulation.runFor(3_000 * MILLIS);
        return simulation;
    }

    private static SimulatedServer ownerOfFirst(Simulation simulation) {
        return simulation.server(simulation.slices().get(0).owner());
    }

    private static boolean isServedWithout(Simulation simulation, SimulatedServer server) {
        return simulation.isFullyServed()
                && simulation.slices().stream().noneMatch(s -> s.owner().equals(server.name()));
    }

    @Test
    void onTick_serverFrozenAndBack_slicesMovedWithinBound() {
        Simulation simulation = serving(1, 3, 3);
        SimulatedServer frozen = ownerOfFirst(simulation);
        frozen.freeze();
        simulation.runUntil("move", LOSS_BOUND_NANOS, () -> isServedWithout(simulation, frozen));
        frozen.thaw();
        simulation.runUntil("return", 5_000 * MILLIS, () -> owns(simulation, frozen));
    }

    private static boolean owns(Simulation simulation, SimulatedServer server) {
        return simulation.isFullyServed()
                && simulation.slices().stream().anyMatch(s -> s.owner().equals(server.name()));
    }

    @Test
    void onTick_serverRestarted_servedAgain() {
        Simulation simulation = serving(2, 3, 3);
        ownerOfFirst(simulation).restart();
        assertThat(simulation.isFullyServed()).isFalse();
        simulation.runUntil("service", 300 * MILLIS, simulation::isFullyServed);
    }

    @Test
    void onTick_coordinatorPaused_servedThroughoutAndAuthorityDropped() {
        Simulation simulation = serving(3, 4, 3);
        SimulatedMember paused = simulation.coordinator();
        int before = simulation.unowned();
        paused.pause();
        simulation.runFor(900 * MILLIS);
        paused.resume();
        assertThat(paused.member().hasAuthority(paused.localNow())).isFalse();
        simulation.runFor(3_000 * MILLIS);
        assertThat(simulation.unowned()).isEqualTo(before);
        assertThat(simulation.coordinator()).isNotSameInstanceAs(paused);
    }

    @Test
    void onTick_coordinatorAndOwnerLost_servedWithinBound() {
        for (long seed = 0; seed < 30; seed++) {
            Simulation simulation = serving(seed, 4, 3);
            simulation.runFor(simulation.random().nextInt(500) * MILLIS);
            SimulatedServer lost = ownerOfFirst(simulation);
            lost.crash();
            simulation.coordinator().crash();
            simulation.runUntil(
                    "move, seed " + seed,
                    LOSS_BOUND_NANOS,
                    () -> isServedWithout(simulation, lost));
        }
    }

    @Test
    void onWriteUnknown_everyAnswerLost_readsBackAndMoves() {
        Simulation simulation = serving(4, 3, 3);
        simulation.disorder(0, 0, 1.0);
        SimulatedServer drained = ownerOfFirst(simulation);
        simulation.setRole(new ServerRole(drained.name(), true, false));
        simulation.runUntil("drain", 10_000 * MILLIS, () -> isServedWithout(simulation, drained));
    }

    @Test
    void onTick_storeDownAndCoordinatorLost_renewedWithoutMoves() {
        Simulation simulation = serving(5, 3, 3);
        int unowned = simulation.unowned();
        Optional<VersionedState> before = simulation.store().state();
        simulation.store().setUp(false);
        simulation.runFor(2_000 * MILLIS);
        simulation.coordinator().crash();
        simulation.runFor(8_000 * MILLIS);
        assertThat(simulation.unowned()).isEqualTo(unowned);
        SimulatedServer lost = ownerOfFirst(simulation);
        lost.crash();
        simulation.runFor(3_000 * MILLIS);
        assertThat(undecided(simulation)).isGreaterThan(0);
        assertThat(simulation.store().state()).isEqualTo(before);
        simulation.store().setUp(true);
        simulation.runUntil("move", 3_000 * MILLIS, () -> isServedWithout(simulation, lost));
    }

    private static int undecided(Simulation simulation) {
        return simulation.members().stream()
                .filter(SimulatedMember::isUp)
                .mapToInt(m -> m.member().undecided())
                .max()
                .getAsInt();
    }

    @Test
    void onTick_twoOfThreeMembersLost_remainingOneRenewsAlone() {
        Simulation simulation = serving(6, 3, 3);
        int unowned = simulation.unowned();
        SimulatedMember coordinator = simulation.coordinator();
        for (SimulatedMember member : simulation.members()) {
            if (member != coordinator) {
                member.crash();
            }
        }
        simulation.runFor(5_000 * MILLIS);
        assertThat(simulation.unowned()).isEqualTo(unowned);
    }

    @Test
    void onMemberGone_majorityAndOwnerLost_movedAfterReport() {
        Simulation simulation = serving(13, 3, 3);
        SimulatedServer lost = ownerOfFirst(simulation);
        lost.crash();
        SimulatedMember coordinator = simulation.coordinator();
        for (SimulatedMember member : simulation.members()) {
            if (member != coordinator) {
                member.crash();
            }
        }
        simulation.runFor(4_000 * MILLIS);
        assertThat(simulation.isServed(simulation.slices().get(0))).isFalse();
        simulation.members().forEach(m -> reportIfDown(simulation, m));
        simulation.runUntil("move", LOSS_BOUND_NANOS, () -> isServedWithout(simulation, lost));
    }

    private static void reportIfDown(Simulation simulation, SimulatedMember member) {
        if (!member.isUp()) {
            simulation.reportGone(member.live().id());
        }
    }

    @Test
    void onTick_firstGroup_spansDataCentres() {
        Simulation simulation = serving(14, 4, 3);
        List<String> dataCentres = new ArrayList<>();
        for (String id : simulation.store().state().get().state().group()) {
            String name = MemberId.parse(id).name();
            dataCentres.add(simulation.member(name).live().dataCentre());
        }
        assertThat(dataCentres).containsExactly("dc0", "dc1", "dc2");
    }

    @Test
    void onTick_standbyLost_replaced() {
        Simulation simulation = serving(7, 4, 3);
        String lost = simulation.store().state().get().state().standbys().get(0);
        simulation.member(MemberId.parse(lost).name()).crash();
        simulation.runUntil("new group", 1_000 * MILLIS, () -> isReplaced(simulation, lost));
        simulation.runUntil("fence", 2_000 * MILLIS, () -> isFenced(simulation));
    }

    private static boolean isReplaced(Simulation simulation, String lost) {
        ShardState state = simulation.store().state().get().state();
        return state.standbys().size() == 2 && !state.standbys().contains(lost);
    }

    private static boolean isFenced(Simulation simulation) {
        return simulation.store().state().get().state().unfencedGroups().isEmpty();
    }

    @Test
    void onTick_allMembersRestarted_servedAgain() {
        Simulation simulation = serving(8, 3, 3);
        simulation.members().forEach(SimulatedMember::restart);
        simulation.announceMembers();
        simulation.runFor(1_500 * MILLIS);
        simulation.runUntil("service", 2_000 * MILLIS, simulation::isFullyServed);
    }

    /**
     * Guards against a release by acknowledgement alone: the former owner restarts, has forgotten
     * the acknowledgement, and gets a grant from a coordinator that does not know of its successor.
     */
    @Test
    void onGrantAck_ownerRestartsWhileFormerCoordinatorIsolated_oneOwner() {
        for (long seed = 0; seed < 20; seed++) {
            Simulation simulation = serving(seed, 4, 3);
            simulation.runFor(simulation.random().nextInt(250) * MILLIS);
            SimulatedServer owner = ownerOfFirst(simulation);
            simulation.coordinator().isolate(true);
            owner.freeze();
            simulation.runUntil(
                    "move", 1_000 * MILLIS, () -> !simulation.slices().get(0).previous().isEmpty());
            simulation.runFor(10 * MILLIS);
            owner.thaw();
            simulation.runUntil("release", 500 * MILLIS, () -> hasSentEmptyGrant(simulation));
            simulation.runFor(4 * MILLIS);
            owner.restart();
            simulation.runFor(2_000 * MILLIS);
            assertThat(simulation.isFullyServed()).isTrue();
        }
    }

    private static boolean hasSentEmptyGrant(Simulation simulation) {
        List<Grant> grants = simulation.grants();
        return grants.get(grants.size() - 1).ranges().isEmpty();
    }

    @Test
    void onServersChanged_serverDrainedWithRequestRunning_batchWaitsForItsEnd() {
        Simulation simulation = serving(10, 3, 2);
        SimulatedServer drained = ownerOfFirst(simulation);
        long hash = simulation.slices().get(0).first();
        long epoch = simulation.slices().get(0).epoch();
        drained.holder()
                .onRequestStart(drained.reading(simulation.now()), Simulation.SERVICE, hash, epoch);
        simulation.setRole(new ServerRole(drained.name(), true, false));
        simulation.runFor(2_500 * MILLIS);
        assertThat(simulation.slices().get(0).previous()).isEqualTo(drained.name());
        assertThat(simulation.isServed(simulation.slices().get(0))).isFalse();
        GrantAck ack = drained.holder().onRequestEnd(Simulation.SERVICE, hash).get();
        simulation.acknowledge(simulation.coordinator(), drained, ack);
        simulation.runUntil("grant", 50 * MILLIS, simulation::isFullyServed);
        simulation.runUntil("drain", 5_000 * MILLIS, () -> isDrained(simulation, drained));
    }

    private static boolean isDrained(Simulation simulation, SimulatedServer drained) {
        Map<String, Integer> moving = new HashMap<>();
        boolean done = true;
        for (Slice slice : simulation.slices()) {
            moving.merge(slice.pending(), 1, Integer::sum);
            done &= !slice.owner().equals(drained.name());
        }
        moving.remove("");
        moving.values().forEach(n -> assertWithMessage("in flight").that(n).isAtMost(2));
        return done;
    }

    @Test
    void onServersChanged_drainOfIdleServer_eachSliceInterruptedBriefly() {
        Simulation simulation = serving(11, 3, 3);
        SimulatedServer drained = ownerOfFirst(simulation);
        simulation.setRole(new ServerRole(drained.name(), true, false));
        simulation.runUntil(
                "drain",
                5_000 * MILLIS,
                () -> longestGap(simulation) && isDrained(simulation, drained));
    }

    /** Fails when the first slice is without an owner for longer than the retries of a router. */
    private static boolean longestGap(Simulation simulation) {
        Slice first = simulation.slices().get(0);
        if (!simulation.isServed(first)) {
            simulation.runUntil(
                    "grant to the new owner",
                    80 * MILLIS,
                    () -> simulation.isServed(simulation.slices().get(0)));
        }
        return true;
    }

    @Test
    void onServersChanged_unfencedServerDrained_leasesOutwaited() {
        Simulation simulation = serving(12, 3, 2);
        SimulatedServer unfenced = ownerOfFirst(simulation);
        simulation.setRole(new ServerRole(unfenced.name(), false, false));
        simulation.runUntil(
                "assignment",
                5_000 * MILLIS,
                () -> simulation.slices().get(0).previous().equals(unfenced.name()));
        simulation.runFor(2_003 * MILLIS);
        assertThat(simulation.isServed(simulation.slices().get(0))).isFalse();
        simulation.runUntil(
                "service", 500 * MILLIS, () -> simulation.isServed(simulation.slices().get(0)));
    }

    private static final LiveMember D1 = new LiveMember(new MemberId("d1", 5), "a");
    private static final LiveMember D2 = new LiveMember(new MemberId("d2", 5), "b");

    private static ShardMember started(LiveMember self) {
        ShardMember member = ShardMember.builder("catalogue", self).initialSlices(4).build();
        member.onMembers(0, List.of(self));
        return member;
    }

    private static <T> Optional<T> find(List<OwnershipCommand> commands, Class<T> kind) {
        return commands.stream().filter(kind::isInstance).map(kind::cast).findFirst();
    }

    @Test
    void onWriteConflict_twoMembersRace_secondAdoptsFirst() {
        ShardMember first = started(D1);
        ShardMember second = started(D2);
        first.onTick(0);
        second.onTick(0);
        first.onReadAbsent(1);
        second.onReadAbsent(1);
        ShardState written = find(first.onTick(2), OwnershipCommand.WriteState.class).get().state();
        assertThat(find(second.onTick(2), OwnershipCommand.WriteState.class)).isPresent();
        first.onWriteWritten(3, 1);
        assertThat(find(second.onWriteConflict(3), OwnershipCommand.ReadState.class)).isPresent();
        second.onReadState(4, new VersionedState(1, written));
        assertThat(first.isCoordinator()).isTrue();
        assertThat(second.isCoordinator()).isFalse();
        assertThat(second.hasAuthority(4)).isFalse();
    }

    @Test
    void onAuthorityRequest_formerRun_notAcknowledged() {
        ShardMember restarted = started(D1);
        MemberId former = new MemberId("d1", 4);
        AuthorityAck ack = answer(restarted, former, 9);
        assertThat(ack.acknowledged()).isFalse();
        assertThat(ack.from()).isEqualTo(D1.id());
    }

    @Test
    void onAuthorityRequest_lowerThanAcknowledged_refused() {
        ShardMember member = started(D1);
        assertThat(answer(member, D1.id(), 9).acknowledged()).isTrue();
        assertThat(answer(member, D1.id(), 8).acknowledged()).isFalse();
        assertThat(answer(member, D1.id(), 9).acknowledged()).isTrue();
    }

    private static AuthorityAck answer(ShardMember member, MemberId to, long version) {
        AuthorityRequest request =
                new AuthorityRequest("catalogue", D2.id(), to, version, 0, Optional.empty());
        return find(member.onAuthorityRequest(1, request), OwnershipCommand.SendAuthorityAck.class)
                .get()
                .ack();
    }

    /** Returns a coordinator of a group of two at version 1, with its requests sent at time 1. */
    private static ShardMember coordinatorOfTwo() {
        ShardMember member = started(D1);
        ShardState state =
                ShardState.create("catalogue", 4)
                        .takenOverBy(D1.id().toString(), List.of(D2.id().toString()));
        member.onState(1, new VersionedState(1, state));
        return member;
    }

    private static void acknowledge(ShardMember member, long now, long sentNanos) {
        member.onAuthorityAck(
                now,
                new AuthorityAck(
                        "catalogue", D2.id(), D1.id(), 1, sentNanos, true, 1, Optional.empty()));
    }

    @Test
    void onAuthorityAck_late_authorityCountsFromRequest() {
        ShardMember member = coordinatorOfTwo();
        assertThat(member.hasAuthority(1)).isFalse();
        acknowledge(member, 400 * MILLIS, 1);
        assertThat(member.hasAuthority(1_000 * MILLIS)).isTrue();
        assertThat(member.hasAuthority(1_000 * MILLIS + 1)).isFalse();
    }

    @Test
    void onTick_afterPause_authorityDroppedAndOldAnswersIgnored() {
        ShardMember member = coordinatorOfTwo();
        acknowledge(member, 2, 1);
        member.onTick(3);
        long woken = 4 + OwnershipTimes.PAUSE_NANOS;
        assertThat(member.hasAuthority(woken)).isTrue();
        acknowledge(member, woken, 2);
        assertThat(member.hasAuthority(woken)).isFalse();
        acknowledge(member, woken + 1, woken);
        assertThat(member.hasAuthority(woken + 1)).isTrue();
    }

    @Test
    void onAuthorityRequest_higherVersion_authorityForLowerOneEnds() {
        ShardMember member = coordinatorOfTwo();
        acknowledge(member, 2, 1);
        assertThat(answer(member, D1.id(), 2).acknowledged()).isTrue();
        assertThat(member.hasAuthority(3)).isFalse();
    }

    @Test
    void onState_lowerVersion_ignored() {
        ShardMember member = started(D1);
        ShardState state = ShardState.create("catalogue", 4);
        member.onState(1, new VersionedState(7, state.takenOverBy("d2@5", ImmutableList.of())));
        member.onState(2, new VersionedState(6, state));
        assertThat(member.known().get().version()).isEqualTo(7);
    }
}
