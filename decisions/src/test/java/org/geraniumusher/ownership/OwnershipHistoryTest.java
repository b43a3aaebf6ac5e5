package org.geraniumusher.ownership;

import static org.geraniumusher.ownership.Simulation.MILLIS;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

import org.geraniumusher.model.Slice;

import java.util.List;
import java.util.Random;

/**
 * Guards against two owners of a key, lost assignments and slices that stay without an owner, in
 * random histories of faults.
 */
class OwnershipHistoryTest {
    private static final long FAULTY_MILLIS = 12_000;

    /** A takeover from outside a lost group takes up to 2 s, the lapse 1 s and grants 0.25 s. */
    private static final long CALM_BOUND_MILLIS = 4_000;

    @Property(seed = "42", tries = 150, shrinking = ShrinkingMode.OFF)
    void history_anyFaults_oneOwnerAndRecovery(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 5) int members,
            @ForAll @IntRange(min = 2, max = 4) int servers) {
        Simulation simulation = new Simulation(seed, members, servers);
        Random random = simulation.random();
        simulation.runUntil("first owners", 5_000 * MILLIS, simulation::isFullyServed);
        simulation.disorder(
                random.nextDouble() * 0.2,
                (long) (random.nextDouble() * 1_500 * MILLIS),
                random.nextDouble() * 0.3);
        for (long at = 0; at < FAULTY_MILLIS; at += 200) {
            simulation.after(at * MILLIS, () -> randomFault(simulation));
            simulation.after(at * MILLIS, () -> randomRequest(simulation));
        }
        simulation.runFor(FAULTY_MILLIS * MILLIS);
        heal(simulation);
        simulation.runUntil("recovery", CALM_BOUND_MILLIS * MILLIS, simulation::isFullyServed);
    }

    /** Runs a request at an owner, which defers the acknowledgement of a release meanwhile. */
    private static void randomRequest(Simulation simulation) {
        Random random = simulation.random();
        Slice slice = simulation.slices().get(random.nextInt(simulation.slices().size()));
        SimulatedServer server = simulation.server(slice.owner());
        GrantHolder holder = server.holder();
        long hash = slice.first();
        long now = server.reading(simulation.now());
        if (!holder.onRequestStart(now, Simulation.SERVICE, hash, slice.epoch()).isAdmitted()) {
            return;
        }
        SimulatedMember coordinator = simulation.coordinator();
        simulation.after(
                (long) (random.nextDouble() * 500 * MILLIS),
                () ->
                        holder.onRequestEnd(Simulation.SERVICE, hash)
                                .ifPresent(a -> simulation.acknowledge(coordinator, server, a)));
    }

    private static void randomFault(Simulation simulation) {
        Random random = simulation.random();
        List<SimulatedMember> members = simulation.members();
        List<SimulatedServer> servers = simulation.servers();
        SimulatedMember member = members.get(random.nextInt(members.size()));
        SimulatedServer server = servers.get(random.nextInt(servers.size()));
        long lasting = (long) (random.nextDouble() * 2_000 * MILLIS);
        switch (random.nextInt(10)) {
            case 0 -> {
                member.pause();
                simulation.after(lasting, member::resume);
            }
            case 1 -> crash(simulation, member, lasting);
            case 2 -> {
                server.freeze();
                simulation.after(lasting, server::thaw);
            }
            case 3 -> server.restart();
            case 4 -> {
                server.crash();
                simulation.after(lasting, server::restart);
            }
            case 5 -> {
                simulation.store().setUp(false);
                simulation.after(lasting, () -> simulation.store().setUp(true));
            }
            case 6 -> {
                member.isolate(true);
                simulation.after(lasting, () -> member.isolate(false));
            }
            case 7 -> simulation.setRole(new ServerRole(server.name(), true, random.nextBoolean()));
            default -> simulation.announceMembers();
        }
    }

    private static void crash(Simulation simulation, SimulatedMember member, long downNanos) {
        if (!member.isUp()) {
            return;
        }
        MemberId id = member.live().id();
        member.crash();
        simulation.after(
                (long) (simulation.random().nextDouble() * 3_000 * MILLIS),
                () -> simulation.reportGone(id));
        simulation.after(
                downNanos,
                () -> {
                    member.restart();
                    simulation.announceMembers();
                });
    }

    private static void heal(Simulation simulation) {
        simulation.disorder(0, 0, 0);
        simulation.store().setUp(true);
        for (SimulatedServer server : simulation.servers()) {
            server.thaw();
            simulation.setRole(new ServerRole(server.name(), true, true));
            if (!server.isUp()) {
                server.restart();
            }
        }
        for (SimulatedMember member : simulation.members()) {
            member.resume();
            member.isolate(false);
            if (!member.isUp()) {
                member.restart();
            }
        }
        simulation.announceMembers();
    }
}
