package org.geraniumusher.standin;

import static com.google.common.truth.Truth.assertThat;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.model.BackendServer;
import org.geraniumusher.standin.backend.BackendBehaviour;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Guards against a daemon that does not use the policy modules: a slowed server that keeps its
 * share of the work, and a server that just started and gets more than it can handle.
 */
class PolicyPathTest {
    private static final int CALLERS = 8;

    @Test
    void unkeyed_oneServerSlowed_getsLessThanHalfItsShare() {
        try (TestFleet fleet = TestFleet.start(2, 4)) {
            fleet.backend("ledger-0")
                    .setBehaviour(
                            BackendBehaviour.ofDefaults()
                                    .withServiceMicros(1_000)
                                    .withSlowFactor(30));
            long before = fleet.backend("ledger-0").stats().executed();
            List<HttpReply> replies = load(fleet, "/ledger/", 800);
            long slowed = fleet.backend("ledger-0").stats().executed() - before;
            assertThat(replies.stream().allMatch(HttpReply::isOk)).isTrue();
            assertThat(slowed).isLessThan(800 / 4 / 2);
        }
    }

    @Test
    void keyed_serverRestartsCold_isNeverOfferedMoreThanItBears() {
        try (TestFleet fleet = TestFleet.start(2, 3)) {
            for (String name : fleet.backendNames()) {
                fleet.write(coldStarting(fleet.server(name)));
            }
            TestFleet.await(() -> fleet.call(0, HttpCall.of("GET", "/clefts/a")).isOk());
            fleet.stopBackend("register-0");
            fleet.restartBackend("register-0");
            fleet.backend("register-0")
                    .setBehaviour(
                            BackendBehaviour.ofDefaults()
                                    .withServiceMicros(2_000)
                                    .withColdStart(2, 60));
            List<HttpReply> replies = load(fleet, "/clefts/", 900);
            assertThat(replies.stream().allMatch(HttpReply::isOk)).isTrue();
            assertThat(fleet.backend("register-0").stats().refusedByLoad()).isEqualTo(0);
        }
    }

    private static BackendServer coldStarting(BackendServer server) {
        return new BackendServer(
                server.name(),
                server.address(),
                server.dataCentre(),
                server.labels(),
                6,
                2,
                5,
                true);
    }

    private static List<HttpReply> load(TestFleet fleet, String prefix, int requests) {
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        try {
            List<CompletableFuture<HttpReply>> futures = new ArrayList<>();
            for (int i = 0; i < requests; i++) {
                int n = i;
                futures.add(
                        CompletableFuture.supplyAsync(
                                () -> fleet.call(n % 2, HttpCall.of("GET", prefix + n)), callers));
            }
            return futures.stream().map(CompletableFuture::join).toList();
        } finally {
            callers.shutdown();
        }
    }
}
