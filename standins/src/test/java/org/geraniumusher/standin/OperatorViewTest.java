package org.geraniumusher.standin;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.burn.BurnReport;
import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.model.KeySource;
import org.geraniumusher.model.Route;
import org.geraniumusher.operator.Replies;
import org.geraniumusher.platform.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.time.Duration;

/**
 * Guards against an operator port that shows only a part of the fleet: no counts of other daemons,
 * counts that end with the daemon that made them, or no table versions of the daemon asked.
 */
class OperatorViewTest {
    private final TestFleet mFleet = TestFleet.start(3, 2);

    @AfterEach
    void stop() {
        mFleet.close();
    }

    @Test
    void burn_daemonReplaced_keepsTheCountsOfAll() {
        countOneRequestEach();
        replace(0);
        awaitAllCounts();
    }

    @Test
    void burn_allReplacedInTurn_keepsTheCountsOfAll() {
        countOneRequestEach();
        for (int i = 0; i < 3; i++) {
            replace(i);
        }
        awaitAllCounts();
    }

    @Test
    void daemons_daemonAsked_showsItsOwnTableVersions() {
        for (int i = 0; i < 3; i++) {
            int daemon = i;
            TestFleet.await(() -> showsOwnTable(daemon));
        }
    }

    private void countOneRequestEach() {
        mFleet.write(route());
        for (int i = 0; i < 3; i++) {
            int daemon = i;
            TestFleet.await(
                    () ->
                            mFleet.call(daemon, HttpCall.of("GET", "/clefts/a")).isOk()
                                    && requests(daemon, "/admin/burn?local") > 0);
        }
    }

    private void replace(int daemon) {
        mFleet.daemon(daemon).startDrain();
        mFleet.daemon(daemon).stopped().join();
        mFleet.restartDaemon(daemon);
    }

    private void awaitAllCounts() {
        for (int i = 0; i < 3; i++) {
            int daemon = i;
            TestFleet.await(() -> requests(daemon, "/admin/burn") >= 3);
        }
    }

    private boolean showsOwnTable(int daemon) {
        Replies.Daemons reply = Json.read(get(daemon, "/admin/daemons"), Replies.Daemons.class);
        return reply.daemons().stream()
                .filter(member -> member.name().equals(reply.reporter()))
                .anyMatch(member -> member.shardVersions().containsKey("register"));
    }

    private long requests(int daemon, String uri) {
        return Json.read(get(daemon, uri), BurnReport.class).routes().stream()
                .mapToLong(BurnReport.RouteBurn::longTotal)
                .sum();
    }

    private String get(int daemon, String uri) {
        HttpReply reply =
                mFleet.client()
                        .call(
                                mFleet.operatorAddress(daemon),
                                HttpCall.of("GET", uri),
                                Duration.ofSeconds(5))
                        .exceptionally(error -> HttpReply.of(0, error.toString()))
                        .join();
        assertWithMessage("daemon %s %s: %s", daemon, uri, reply.text())
                .that(reply.status())
                .isEqualTo(200);
        return reply.text();
    }

    private static Route route() {
        return new Route(
                "clefts",
                null,
                "*",
                "/clefts",
                ImmutableList.of(),
                "register",
                KeySource.of("path:1"),
                null,
                5_000,
                null,
                new Route.Objective(0.9, 100));
    }
}
