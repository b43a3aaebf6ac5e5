package org.geraniumusher.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.geraniumusher.dispatch.ServerPicker.Candidate;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/** Guards the choice of a server for requests without a key under the load patterns it handles. */
final class ServerPickerTest {
    private static final long MILLI_NANOS = 1_000_000L;
    private static final long GOAL_NANOS = 1_500 * MILLI_NANOS;
    private static final long NOW_NANOS = 10_000 * MILLI_NANOS;

    private final Random mRandom = new Random(3);

    private static Candidate candidate(String id, boolean isLocal) {
        return new Candidate(
                id,
                ServerLoad.create(6, ServiceTimes.create(400 * MILLI_NANOS), 0),
                6,
                isLocal,
                false);
    }

    private Optional<Candidate> pick(List<Candidate> candidates) {
        return ServerPicker.pick(candidates, GOAL_NANOS, 0.5, NOW_NANOS, mRandom);
    }

    @Test
    void pick_noCandidate_isEmpty() {
        assertThat(pick(List.of())).isEmpty();
    }

    /** Traffic between data centres costs money, so an idle local server must be preferred. */
    @Test
    void pick_equalLoad_prefersOwnDataCentre() {
        List<Candidate> candidates = List.of(candidate("remote", false), candidate("local", true));

        for (int i = 0; i < 50; i++) {
            assertThat(pick(candidates).orElseThrow().incarnationId()).isEqualTo("local");
        }
    }

    @Test
    void pick_ownDataCentreBusy_takesRemoteServer() {
        Candidate local = candidate("local", true);
        for (int i = 0; i < 11; i++) {
            local.load().onSent();
        }

        int remotePicks = 0;
        for (int i = 0; i < 50; i++) {
            boolean isRemote =
                    pick(List.of(candidate("remote", false), local))
                            .orElseThrow()
                            .incarnationId()
                            .equals("remote");
            remotePicks += isRemote ? 1 : 0;
        }
        assertThat(remotePicks).isAtLeast(35);
    }

    /** Daemons that see the same load report must not all choose the same server. */
    @Test
    void pick_equalServers_spreadsRequests() {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            candidates.add(candidate("s" + i, true));
        }
        Map<String, Integer> pickCounts = new HashMap<>();
        for (int i = 0; i < 500; i++) {
            pickCounts.merge(pick(candidates).orElseThrow().incarnationId(), 1, Integer::sum);
        }

        assertThat(pickCounts).hasSize(5);
        pickCounts.values().forEach(n -> assertThat(n).isAtMost(200));
    }

    /** A server that rejects half of its requests must get few of them. */
    @Test
    void pick_serverRejectsHalf_isAvoided() {
        Candidate rejecting = candidate("rejecting", true);
        for (int i = 0; i < 20; i++) {
            rejecting.load().onSent();
            if (i % 2 == 0) {
                rejecting.load().onRejected();
            } else {
                rejecting.load().onCompleted(400 * MILLI_NANOS, false);
            }
        }

        int picks = 0;
        for (int i = 0; i < 100; i++) {
            picks +=
                    pick(List.of(rejecting, candidate("good", true)))
                                    .orElseThrow()
                                    .incarnationId()
                                    .equals("rejecting")
                            ? 1
                            : 0;
        }
        assertThat(picks).isAtMost(5);
    }

    @Test
    void pick_serverAlreadyTried_takesAnother() {
        Candidate tried =
                new Candidate(
                        "tried",
                        ServerLoad.create(6, ServiceTimes.create(400 * MILLI_NANOS), 0),
                        6,
                        true,
                        true);

        assertThat(pick(List.of(tried, candidate("other", false))).orElseThrow().incarnationId())
                .isEqualTo("other");
    }

    @Test
    void pick_allQueuesFull_isEmpty() {
        Candidate full = candidate("full", true);
        for (int i = 0; i < 12; i++) {
            full.load().onSent();
        }

        assertThat(pick(List.of(full))).isEmpty();
    }

    /** A cold server that has no token left must not be chosen. */
    @Test
    void pick_coldServerWithoutToken_isEmpty() {
        Candidate cold = candidate("cold", true);
        cold.load().setColdUntil(NOW_NANOS + 3_000 * MILLI_NANOS, NOW_NANOS);

        assertThat(pick(List.of(cold))).isEmpty();
    }

    /** A cold server that is considered but not chosen must keep its token for a later request. */
    @Test
    void pick_coldServerNotChosen_keepsItsToken() {
        ServerLoad load = ServerLoad.create(6, ServiceTimes.create(400 * MILLI_NANOS), 1);
        load.setColdUntil(NOW_NANOS + 3_000 * MILLI_NANOS, NOW_NANOS);
        Candidate cold = new Candidate("cold", load, 6, false, false);

        assertThat(pick(List.of(cold, candidate("warm", true))).orElseThrow().incarnationId())
                .isEqualTo("warm");

        assertThat(pick(List.of(cold))).isPresent();
    }

    /**
     * A daemon of a large fleet sends 60 requests to 30 servers within 20 s, ten of which take
     * three times as long as the others. It asked each server once before it asked any of them
     * again.
     */
    @Test
    void pick_fewRequestsForEachServer_slowOnesGetLessThanHalfOfTheirShare() {
        int servers = 30;
        int requests = 60;
        ServiceTimes times = ServiceTimes.create(300 * MILLI_NANOS);
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            ServerLoad load = ServerLoad.create(6, times, 0);
            candidates.add(new Candidate((i < 10 ? "slow" : "fast") + i, load, 6, true, false));
        }
        Random random = new Random(1);
        int toSlow = 0;
        for (int i = 0; i < requests; i++) {
            long now = i * 333 * MILLI_NANOS;
            Candidate picked =
                    ServerPicker.pick(candidates, 3_000 * MILLI_NANOS, 1e9, now, random)
                            .orElseThrow();
            boolean slow = picked.incarnationId().startsWith("slow");
            toSlow += slow ? 1 : 0;
            picked.load().onSent();
            double nanos = (0.5 + random.nextDouble()) * (slow ? 2_100 : 700) * MILLI_NANOS;
            picked.load().onCompleted((long) nanos, false);
        }

        assertWithMessage("requests to slow servers")
                .that(toSlow)
                .isLessThan(requests * 10 / servers / 2);
    }
}
