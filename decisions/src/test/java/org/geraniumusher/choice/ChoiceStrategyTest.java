package org.geraniumusher.choice;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.admission.GateLoad;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Guards against daemons that all choose the same server, against trust in a server's own report,
 * and against servers that are avoided forever.
 */
class ChoiceStrategyTest {
    private static final long MILLI = 1_000_000;
    private static final int TRIES = 3_000;

    private static List<ServerView> servers(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> ServerView.create("s" + i, 6, 2))
                .collect(ImmutableList.toImmutableList());
    }

    private static void answer(ServerView server, int running, int usable, long millis) {
        server.sent(-millis * MILLI);
        server.answered(millis * MILLI, new GateLoad(running, 0, usable, millis * MILLI), 0);
    }

    /** Counts the choices among unchanged servers. */
    private static Map<String, Integer> count(
            ChoiceStrategy strategy, List<ServerView> servers, long now) {
        Map<String, Integer> counts = new HashMap<>();
        ServerChooser chooser = ServerChooser.create(strategy, new SplittableRandom(7));
        for (int i = 0; i < TRIES; i++) {
            counts.merge(chooser.choose(servers, true, now).orElseThrow().name(), 1, Integer::sum);
        }
        return counts;
    }

    @ParameterizedTest
    @EnumSource(ChoiceStrategy.class)
    void choose_equalServers_allShare(ChoiceStrategy strategy) {
        Map<String, Integer> counts = count(strategy, servers(6), 0);
        assertThat(counts).hasSize(6);
        assertThat(Collections.max(counts.values())).isLessThan(TRIES / 6 * 5 / 4);
    }

    @ParameterizedTest
    @EnumSource(
            value = ChoiceStrategy.class,
            names = {"LEAST_REQUESTS", "POWER_OF_TWO", "TWO_CHOICES_LATENCY"})
    void choose_oneBusy_avoided(ChoiceStrategy strategy) {
        List<ServerView> servers = servers(4);
        servers.get(0).sent(0);
        assertThat(count(strategy, servers, 0)).doesNotContainKey("s0");
    }

    @Test
    void choose_elevenDaemonsShareStaleFigure_noHerd() {
        Map<String, Integer> first = new HashMap<>();
        for (int daemon = 0; daemon < 11; daemon++) {
            List<ServerView> servers = servers(12);
            servers.forEach(s -> answer(s, 6, 6, 6));
            answer(servers.get(3), 0, 6, 6);
            ServerChooser chooser =
                    ServerChooser.create(
                            ChoiceStrategy.TWO_CHOICES_LATENCY, new SplittableRandom(daemon));
            for (int i = 0; i < 12; i++) {
                ServerView server = chooser.choose(servers, true, 10 * MILLI).orElseThrow();
                server.sent(10 * MILLI);
                first.merge(server.name(), 1, Integer::sum);
            }
        }
        assertThat(first.get("s3")).isLessThan(11 * 12 / 4);
    }

    @Test
    void choose_slowServer_avoidedThenTriedAgain() {
        List<ServerView> servers = servers(2);
        answer(servers.get(0), 0, 6, 60);
        answer(servers.get(1), 0, 6, 6);
        assertThat(count(ChoiceStrategy.TWO_CHOICES_LATENCY, servers, 0)).doesNotContainKey("s0");
        answer(servers.get(1), 0, 6, 6);
        servers.get(1).sent(4_994 * MILLI);
        servers.get(1).answered(6 * MILLI, new GateLoad(0, 0, 6, 0), 5_000 * MILLI);
        assertThat(count(ChoiceStrategy.TWO_CHOICES_LATENCY, servers, 5_000 * MILLI))
                .containsKey("s0");
    }

    @Test
    void choose_coldServer_getsItsShareOfSlots() {
        List<ServerView> servers = servers(2);
        answer(servers.get(0), 0, 2, 6);
        answer(servers.get(1), 0, 6, 6);
        ServerChooser chooser =
                ServerChooser.create(ChoiceStrategy.TWO_CHOICES_LATENCY, new SplittableRandom(1));
        for (int i = 0; i < 8; i++) {
            chooser.choose(servers, true, 0).orElseThrow().sent(0);
        }
        assertThat(servers.get(0).inFlight()).isEqualTo(2);
    }

    @Test
    void choose_serverReportsNoLoadButOwnRequestsWait_ownObservationWins() {
        List<ServerView> servers = servers(2);
        servers.forEach(s -> answer(s, 0, 6, 6));
        servers.get(0).sent(0);
        servers.get(0).reported(0, 0);
        servers.get(1).reported(100, 0);
        assertThat(count(ChoiceStrategy.TWO_CHOICES_LATENCY, servers, 0)).doesNotContainKey("s0");
    }

    @Test
    void choose_ownFiguresTie_reportDecidesWhileFresh() {
        List<ServerView> servers = servers(2);
        servers.get(0).reported(9, 0);
        servers.get(1).reported(1, 0);
        assertThat(count(ChoiceStrategy.TWO_CHOICES_LATENCY, servers, 0)).doesNotContainKey("s0");
        assertThat(count(ChoiceStrategy.TWO_CHOICES_LATENCY, servers, 2_000 * MILLI)).hasSize(2);
    }

    @Test
    void choose_staleLoad_countsLess() {
        ServerView server = servers(1).get(0);
        answer(server, 6, 6, 6);
        assertThat(server.utilisation(0)).isGreaterThan(1.1);
        assertThat(server.utilisation(1_000 * MILLI)).isLessThan(0.2);
    }

    @Test
    void choose_straggler_getsSmallShare() {
        List<ServerView> servers = servers(6);
        ServerChooser chooser =
                ServerChooser.create(ChoiceStrategy.RANDOM, new SplittableRandom(1));
        chooser.reweigh(servers, name -> name.equals("s0") ? 0.05 : 1);
        int chosen = count(ChoiceStrategy.TWO_CHOICES_LATENCY, servers, 0).get("s0");
        assertThat(chosen).isAtLeast(TRIES / 200);
        assertThat(chosen).isAtMost(TRIES / 30);
    }

    @Test
    void choose_busyStragglerOrOrder_notProbed() {
        List<ServerView> servers = servers(6);
        ServerChooser chooser =
                ServerChooser.create(ChoiceStrategy.TWO_CHOICES_LATENCY, new SplittableRandom(1));
        chooser.reweigh(servers, name -> name.equals("s0") ? 0.5 : 1);
        for (int i = 0; i < TRIES; i++) {
            assertThat(chooser.choose(servers, false, 0).orElseThrow().name()).isNotEqualTo("s0");
        }
        answer(servers.get(0), 2, 2, 60);
        assertThat(count(ChoiceStrategy.TWO_CHOICES_LATENCY, servers, 0)).doesNotContainKey("s0");
        answer(servers.get(0), 0, 6, 60);
        assertThat(count(ChoiceStrategy.TWO_CHOICES_LATENCY, servers, 0)).containsKey("s0");
        servers.get(0).sent(0);
        assertThat(count(ChoiceStrategy.TWO_CHOICES_LATENCY, servers, 0)).doesNotContainKey("s0");
    }

    @Test
    void cancelled_lateRequest_raisesLatency() {
        ServerView server = servers(1).get(0);
        answer(server, 0, 6, 6);
        server.sent(-MILLI);
        server.cancelled(MILLI, 0);
        assertThat(server.latencyNanos(0)).isWithin(1).of(6 * MILLI);
        server.sent(-60 * MILLI);
        server.cancelled(60 * MILLI, 0);
        assertThat(server.latencyNanos(0)).isGreaterThan(10.0 * MILLI);
    }

    @Test
    void choose_requestHangs_serverAvoidedBeforeItAnswers() {
        List<ServerView> servers = servers(2);
        servers.forEach(s -> answer(s, 0, 6, 6));
        servers.forEach(s -> s.sent(0));
        servers.get(1).sent(0);
        servers.get(1).answered(20 * MILLI, new GateLoad(1, 0, 6, 0), 20 * MILLI);
        servers.get(1).ended(20 * MILLI, 20 * MILLI);
        servers.get(1).sent(19 * MILLI);
        assertThat(count(ChoiceStrategy.TWO_CHOICES_LATENCY, servers, 20 * MILLI))
                .doesNotContainKey("s0");
    }
}
