package org.geraniumusher.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.geraniumusher.dispatch.ServerPicker.Candidate;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/** Guards the choice among servers without keys under the load patterns that it answers. */
final class ServerPickerTest {
    private static final long MILLI = 1_000_000L;
    private static final long GOAL = 1_500 * MILLI;
    private static final long NOW = 10_000 * MILLI;

    private final Random mRandom = new Random(3);

    private static Candidate candidate(String life, boolean local) {
        return new Candidate(life, ServerLoad.create(6, 400 * MILLI, 0), 6, local, false);
    }

    private Optional<Candidate> pick(List<Candidate> candidates) {
        return ServerPicker.pick(candidates, GOAL, 0.5, NOW, mRandom);
    }

    @Test
    void pick_noCandidate_isEmpty() {
        assertThat(pick(List.of())).isEmpty();
    }

    /** Bytes between data centres cost; an idle server nearby must be preferred. */
    @Test
    void pick_equalLoad_prefersTheOwnDataCentre() {
        List<Candidate> candidates = List.of(candidate("far", false), candidate("near", true));

        for (int i = 0; i < 50; i++) {
            assertThat(pick(candidates).orElseThrow().life()).isEqualTo("near");
        }
    }

    @Test
    void pick_ownDataCentreIsBusy_goesToAnother() {
        Candidate near = candidate("near", true);
        for (int i = 0; i < 11; i++) {
            near.load().onSent();
        }

        int far = 0;
        for (int i = 0; i < 50; i++) {
            boolean isFar =
                    pick(List.of(candidate("far", false), near)).orElseThrow().life().equals("far");
            far += isFar ? 1 : 0;
        }
        assertThat(far).isAtLeast(35);
    }

    /** Daemons that see the same report must not all choose the same server. */
    @Test
    void pick_equalServers_spreads() {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            candidates.add(candidate("s" + i, true));
        }
        Map<String, Integer> chosen = new HashMap<>();
        for (int i = 0; i < 500; i++) {
            chosen.merge(pick(candidates).orElseThrow().life(), 1, Integer::sum);
        }

        assertThat(chosen).hasSize(5);
        chosen.values().forEach(n -> assertThat(n).isAtMost(200));
    }

    /** A server that rejects half of its requests must get few. */
    @Test
    void pick_serverFailsHalf_isAvoided() {
        Candidate grey = candidate("grey", true);
        for (int i = 0; i < 20; i++) {
            grey.load().onSent();
            if (i % 2 == 0) {
                grey.load().onRejected();
            } else {
                grey.load().onCompleted(400 * MILLI, false);
            }
        }

        int toGrey = 0;
        for (int i = 0; i < 100; i++) {
            toGrey +=
                    pick(List.of(grey, candidate("good", true))).orElseThrow().life().equals("grey")
                            ? 1
                            : 0;
        }
        assertThat(toGrey).isAtMost(5);
    }

    @Test
    void pick_serverWasTried_takesAnother() {
        Candidate tried =
                new Candidate("tried", ServerLoad.create(6, 400 * MILLI, 0), 6, true, true);

        assertThat(pick(List.of(tried, candidate("other", false))).orElseThrow().life())
                .isEqualTo("other");
    }

    @Test
    void pick_allQueuesAreLong_isEmpty() {
        Candidate full = candidate("full", true);
        for (int i = 0; i < 12; i++) {
            full.load().onSent();
        }

        assertThat(pick(List.of(full))).isEmpty();
    }

    /** A cold server is left out when it has had its share. */
    @Test
    void pick_coldServerWithoutShare_isLeftOut() {
        Candidate cold = candidate("cold", true);
        cold.load().onCold(NOW + 3_000 * MILLI, NOW);

        assertThat(pick(List.of(cold))).isEmpty();
    }

    /** A cold server that is weighed but not chosen must keep its share for a later request. */
    @Test
    void pick_coldServerIsNotChosen_keepsItsShare() {
        ServerLoad load = ServerLoad.create(6, 400 * MILLI, 1);
        load.onCold(NOW + 3_000 * MILLI, NOW);
        Candidate cold = new Candidate("cold", load, 6, false, false);

        assertThat(pick(List.of(cold, candidate("warm", true))).orElseThrow().life())
                .isEqualTo("warm");

        assertThat(pick(List.of(cold))).isPresent();
    }
}
