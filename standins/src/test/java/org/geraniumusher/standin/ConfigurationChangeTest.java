package org.geraniumusher.standin;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.model.ConfigObject;
import org.geraniumusher.model.DataCentre;
import org.geraniumusher.model.Kind;
import org.geraniumusher.model.Labels;
import org.geraniumusher.platform.Json;
import org.geraniumusher.platform.StoredObject;
import org.geraniumusher.standin.platform.PlatformServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.time.Duration;

/**
 * Guards against work that still arrives at a data centre taken out of service, requests that are
 * cut meanwhile, and changes of operators that are lost.
 */
class ConfigurationChangeTest {
    /** Time after which a closing data centre gets no new work, from the requirements. */
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(3);

    private static final ImmutableList<Integer> ALL = ImmutableList.of(0, 1, 2);
    private static final DataCentre OPEN = new DataCentre("latgale-b", "latgale", Labels.of());
    private static final DataCentre CLOSED =
            new DataCentre("latgale-b", "latgale", Labels.of("serving", "false"));

    private TestFleet mFleet;

    @BeforeEach
    void start() {
        mFleet = TestFleet.start(3, 3);
        mFleet.awaitSettled();
    }

    @AfterEach
    void stop() {
        mFleet.close();
    }

    @Test
    void write_dataCentreCloses_noWorkAfterThreeSecondsAndNoRequestCut() {
        assertCloses(() -> mFleet.write(CLOSED));
    }

    @Test
    void put_platformDownAfterAcceptance_unkeyedWorkStopsEverywhere() {
        Traffic traffic = Traffic.start(mFleet, ALL);
        try (traffic) {
            traffic.awaitMore(10);
            assertThat(put(0, CLOSED, versionOf(CLOSED)).status()).isEqualTo(200);
            mFleet.platform().setFaults(new PlatformServer.Faults(true, 0, 0));
            long accepted = System.nanoTime();
            traffic.awaitSince(accepted, DRAIN_LIMIT);
            long limit = System.nanoTime();
            traffic.awaitMore(20);
            assertThat(mFleet.executions().hasRunSince("ledger-1", limit)).isFalse();
        }
        assertWithMessage(traffic.toString()).that(traffic.failures()).isEmpty();
    }

    @Test
    void put_twoOperatorsSameVersion_secondGetsTheConflict() {
        long version = versionOf(OPEN);
        assertThat(put(0, CLOSED, version).status()).isEqualTo(200);
        HttpReply second = put(1, OPEN, version);
        assertThat(second.status()).isEqualTo(409);
        assertThat(second.text()).contains("operator-0");
        assertThat(stored().spec()).isEqualTo(Json.toTree(CLOSED));
    }

    @Test
    void write_invalidObject_lastGoodOneStaysInForce() {
        mFleet.platform()
                .store()
                .put(
                        Kind.ROUTE.path(),
                        "clefts",
                        mFleet.platform().store().find("route", "clefts").get().version(),
                        "test",
                        Json.readTree(
                                "{\"name\":\"clefts\",\"service\":\"x\",\"timeoutMillis\":0}"));
        mFleet.write(CLOSED);
        long version = versionOf(CLOSED);
        for (int daemon : ALL) {
            HttpCall question = HttpCall.of("GET", "/admin/in-force?version=" + version);
            TestFleet.await(
                    () ->
                            mFleet.callOperator(daemon, question)
                                    .text()
                                    .contains("\"everywhere\":true"));
            assertThat(mFleet.call(daemon, HttpCall.of("GET", "/clefts/a")).status())
                    .isEqualTo(200);
        }
    }

    private void assertCloses(Runnable close) {
        Traffic traffic = Traffic.start(mFleet, ALL);
        try (traffic) {
            traffic.awaitMore(10);
            close.run();
            traffic.awaitSince(System.nanoTime(), DRAIN_LIMIT);
            long limit = System.nanoTime();
            traffic.awaitMore(20);
            assertThat(mFleet.executions().hasRunSince("ledger-1", limit)).isFalse();
            assertThat(mFleet.executions().hasRunSince("register-1", limit)).isFalse();
            assertThat(mFleet.slicesOf("register-1")).isEqualTo(0);
            mFleet.write(OPEN);
            TestFleet.await(() -> mFleet.slicesOf("register-1") > 0);
            traffic.awaitMore(20);
        }
        assertWithMessage(traffic.toString()).that(traffic.failures()).isEmpty();
        assertThat(traffic.repeatedPosts()).isEmpty();
    }

    private StoredObject stored() {
        return mFleet.platform().store().find("data-centre", "latgale-b").orElseThrow();
    }

    private long versionOf(ConfigObject object) {
        return mFleet.platform()
                .store()
                .find(object.kind().path(), object.name())
                .orElseThrow()
                .version();
    }

    private HttpReply put(int daemon, ConfigObject object, long version) {
        StoredObject body =
                new StoredObject(
                        object.kind().path(),
                        object.name(),
                        version,
                        "operator-" + daemon,
                        Json.toTree(object));
        return mFleet.callOperator(daemon, HttpCall.of("PUT", "/admin/objects", Json.write(body)));
    }
}
