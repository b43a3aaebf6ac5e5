package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertWithMessage;

import static org.geraniumusher.keyrange.RangeSimulation.MILLI;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.Random;

/**
 * Checks in fault histories in which the entries of lost servers stay that their keys get other
 * owners, and never two. Such servers kept their keys for ever.
 */
final class ServerLossHistoryTest {
    private static final int ALL_KEYS = KeyRange.MAX_KEY + 1;
    private static final long FOR_EVER = 3_600_000 * MILLI;

    /** Ticks of 0.1 s before the loss is seen and before the write, and the calls themselves. */
    private static final long MOVE = 280 * MILLI;

    /** The hold of 4 s by clocks that run 3% apart. */
    private static final long HOLD = 4_120 * MILLI;

    /** The hold of a renewal that is sent 1.1 s after the loss at the latest and gets no answer. */
    private static final long HOLD_WITHOUT_ANSWER = (1_100 + 800) * MILLI + HOLD;

    /** Bound of holds after the last confirmation of a lost coordinator, and a poll for it. */
    private static final long FORMER_HOLD = (12_700 + 1_000) * MILLI;

    private static RangeSimulation start(long seed) {
        RangeSimulation simulation = new RangeSimulation(seed, 6, 3);
        simulation.servers().keepEntries();
        simulation.run(3_000 * MILLI + seed % 10 * 130 * MILLI);
        return simulation;
    }

    private static void assertAllHeld(RangeSimulation simulation, long seed) {
        assertWithMessage("keys held, seed %s", seed)
                .that(simulation.servers().keysHeld())
                .isEqualTo(ALL_KEYS);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void run_serverRefusesConnections_keysAreHeldByOthersAfterItsHold(long seed) {
        RangeSimulation simulation = start(seed);

        simulation.servers().refuseConnections(1, FOR_EVER);
        simulation.run(HOLD + MOVE);

        assertAllHeld(simulation, seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void run_serverIsSilent_keysAreHeldByOthersAfterItsHold(long seed) {
        RangeSimulation simulation = start(seed);

        simulation.servers().isolate(1, FOR_EVER);
        simulation.run(HOLD_WITHOUT_ANSWER + MOVE);

        assertAllHeld(simulation, seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void run_coordinatorAndServerAreLost_keysAreHeldByOthersAfterFormerHolds(long seed) {
        RangeSimulation simulation = start(seed);

        simulation.restartDaemon(0, FOR_EVER);
        simulation.servers().isolate(1, FOR_EVER);
        simulation.run(FORMER_HOLD + MOVE);

        assertAllHeld(simulation, seed);
    }

    /** Servers come and go while coordinators change and calls are lost. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void run_serversAreLostAndReturn_noKeyHasTwoHolders(long seed) {
        Random random = new Random(seed);
        RangeSimulation simulation = start(seed);
        simulation.setSlowDelivery(seed % 3 == 0);
        for (int step = 0; step < 80; step++) {
            long duration = (2_000 + random.nextInt(16_000)) * MILLI;
            switch (random.nextInt(12)) {
                case 0 -> simulation.restartDaemon(random.nextInt(3), duration / 3);
                case 1 -> simulation.pauseDaemon(random.nextInt(3), duration / 2);
                case 2 -> simulation.setLossRate(0.3 * random.nextInt(2));
                case 3 -> simulation.setStoreDown(true);
                case 4, 5, 6, 7 -> simulation.servers().isolate(random.nextInt(6), duration);
                default -> simulation.servers().refuseConnections(random.nextInt(6), duration);
            }
            simulation.run(random.nextInt(1_500) * MILLI);
            simulation.setStoreDown(false);
        }

        assertWithMessage("number of moves with seed %s", seed)
                .that(simulation.moves())
                .isGreaterThan(5);
        simulation.setSlowDelivery(false);
        simulation.setLossRate(0);
        simulation.run(40_000 * MILLI);
        // Servers get keys back after pauses of up to 30 s; a key has no holder while it moves.
        for (int i = 0; i < 10 && simulation.servers().keysHeld() < ALL_KEYS; i++) {
            simulation.run(100 * MILLI);
        }
        assertAllHeld(simulation, seed);
    }
}
