package org.geraniumusher.tool;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;

import org.geraniumusher.burn.BurnRates;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.operator.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Guards against a tool that reports a drain as complete too early, does not try the next daemon
 * when one does not answer, or exits with the wrong code.
 */
class MainTest {
    /** Fingerprint of a request. */
    private static final String REQUEST = "0a1b2c3d4".concat("e".repeat(23));

    private final TestDaemon mDaemon = new TestDaemon();
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    /** Changes of the daemon, one before each further poll; the wait times out after the last. */
    private final List<Runnable> mChangesBeforePolls = new ArrayList<>();

    @TempDir private Path mDirectory;

    @AfterEach
    void close() {
        mDaemon.close();
    }

    @Test
    void drain_rangesAndDaemonsLag_waitsForBoth() {
        mDaemon.setRanges(2);
        mDaemon.setLagging(true);
        mChangesBeforePolls.add(() -> mDaemon.setRanges(0));
        mChangesBeforePolls.add(() -> mDaemon.setLagging(false));

        assertThat(run("drain", "night", "--selector", "data-centre=nadi-b")).isEqualTo(0);

        assertThat(mChangesBeforePolls).isEmpty();
        assertThat(mDaemon.drains()).containsExactly("night", "data-centre=nadi-b");
        assertThat(err()).contains("not yet in force at entry-1, 2 key ranges left");
        assertThat(out()).contains("night: out of service, version 8");
    }

    @Test
    void drain_timeout_reportsRemainingRanges() {
        mDaemon.setRanges(2);
        assertThat(run("drain", "night", "--selector", "server=bs-1")).isEqualTo(45);
        assertThat(err())
                .contains("NOT_IN_FORCE (405): in force at all daemons that answer, 2 key");
    }

    /** Guards against sending a selector that the tool could have rejected itself. */
    @Test
    void drain_invalidSelector_isUsageErrorAndWritesNothing() {
        assertThat(run("drain", "night", "--selector", "a in b")).isEqualTo(ExitCode.USAGE);
        assertThat(err()).contains("a in b");
        assertThat(mDaemon.drains()).isEmpty();
    }

    @Test
    void returnToService_afterDrain_removesIt() {
        run("drain", "night", "--selector", "service=firing");
        assertThat(run("drains")).isEqualTo(0);
        assertThat(out()).contains("night  service=firing  3");

        assertThat(run("return", "night")).isEqualTo(0);
        assertThat(mDaemon.drains()).isEmpty();
        assertThat(run("return", "night")).isEqualTo(ExitCode.of(ResultCode.NOT_FOUND));
    }

    /** An operator who sees a request in the list must be able to tell what it did. */
    @Test
    void quarantines_tableAndJson_showRequestAndCrashedServers() {
        mDaemon.quarantine(REQUEST, 8);

        assertThat(run("quarantines")).isEqualTo(0);
        assertThat(out())
                .containsMatch(
                        REQUEST
                                + " +REJECTED +catalogue +GET shop/item/7 +2"
                                + " +2026-12-05T03:00:00Z +41 +bs-1@5,bs-2@6");
        assertThat(run("quarantines", "--output", "json")).isEqualTo(0);
        assertThat(Json.readTree(out()).at("/quarantines/0/incarnations/1").asText())
                .isEqualTo("bs-2@6");
    }

    /** Guards against a release that is reported while a daemon still rejects the request. */
    @Test
    void releaseRequest_daemonLags_waitsUntilItHasRemovedTheQuarantine() {
        mDaemon.quarantine(REQUEST, 8);
        mDaemon.setLagging(true);
        mChangesBeforePolls.add(() -> mDaemon.setLagging(false));

        assertThat(run("release-request", REQUEST)).isEqualTo(0);

        assertThat(mChangesBeforePolls).isEmpty();
        assertThat(mDaemon.quarantined()).isEmpty();
        assertThat(err()).contains("not yet in force at entry-1");
        assertThat(out()).contains(REQUEST + ": released, version 8");
    }

    /** A request that crashes servers again at once must not let the release look incomplete. */
    @Test
    void releaseRequest_requestIsQuarantinedAgain_isComplete() {
        mDaemon.quarantine(REQUEST, 8);
        mDaemon.setLagging(true);
        mChangesBeforePolls.add(
                () -> {
                    mDaemon.setLagging(false);
                    mDaemon.quarantine(REQUEST, 9);
                });

        assertThat(run("release-request", REQUEST)).isEqualTo(0);
        assertThat(mDaemon.quarantined()).containsExactly(REQUEST);
    }

    @Test
    void releaseRequest_timeout_namesTheDaemonThatLags() {
        mDaemon.quarantine(REQUEST, 8);
        mDaemon.setLagging(true);

        assertThat(run("release-request", REQUEST)).isEqualTo(45);
        assertThat(err()).contains("NOT_IN_FORCE (405): not yet in force at entry-1; the store");
    }

    /** Guards against the release of another request than the operator means. */
    @Test
    void releaseRequest_prefix_releasesOnlyWhatItNamesUniquely() {
        String similar = REQUEST.substring(0, 8) + "f".repeat(24);
        mDaemon.quarantine(REQUEST, 8);
        mDaemon.quarantine(similar, 9);

        assertThat(run("release-request", REQUEST.substring(0, 8))).isEqualTo(20);
        assertThat(err()).contains("BAD_REQUEST (110): 2 quarantined requests start with 0a1b2c3d");
        assertThat(err()).contains(similar);
        assertThat(run("release-request", "abcdef")).isEqualTo(43);
        assertThat(err()).contains("NOT_FOUND (403): no quarantined request starts with abcdef");
        for (String malformed : List.of("0a1b2", "0a1b2x", REQUEST + "0")) {
            assertThat(run("release-request", malformed)).isEqualTo(ExitCode.USAGE);
            assertThat(err()).contains("hexadecimal digits): " + malformed);
        }
        assertThat(mDaemon.quarantined()).containsExactly(REQUEST, similar);

        assertThat(run("release-request", "0A1B2C3D4")).isEqualTo(0);
        assertThat(mDaemon.quarantined()).containsExactly(similar);
        assertThat(run("release-request", REQUEST)).isEqualTo(43);
        assertThat(err()).contains("'quarantines' lists those in force");
    }

    /** A release whose result is not known must not be shown as done, nor with advice on drains. */
    @Test
    void releaseRequest_storeDoesNotRemoveIt_failsWithSuggestionForQuarantines() {
        mDaemon.quarantine(REQUEST, 8);

        mDaemon.setReleaseFailure(Optional.of(ResultCode.CONFLICT));
        assertThat(run("release-request", REQUEST)).isEqualTo(41);
        assertThat(err()).contains("CONFLICT (401): release failed; its state has just changed");
        mDaemon.setReleaseFailure(Optional.of(ResultCode.PLATFORM_UNAVAILABLE));
        assertThat(run("release-request", REQUEST)).isEqualTo(44);
        assertThat(err()).contains("may have taken effect: look at 'quarantines'");
        assertThat(out()).isEmpty();
    }

    /** A daemon that was behind looked like one that was up to date. */
    @Test
    void daemons_daemonTellsAges_showsThatOfItsConfiguration() {
        assertThat(runIn(ImmutableMap.of(), "--daemon", daemon(), "daemons")).isEqualTo(0);

        assertThat(out()).containsMatch("AGE S .*\n.*entry-1 .* 9 +1\\.2 ");
    }

    @Test
    void daemons_firstDaemonUnreachable_asksTheNext() {
        String unreachable = "127.0.0.1:1";
        int code =
                runIn(ImmutableMap.of(), "--daemon", unreachable, "daemons", "--daemon", daemon());
        assertThat(code).isEqualTo(0);
        assertThat(out()).contains("nadi-b");

        Map<String, String> environment =
                ImmutableMap.of(CommandLine.DAEMONS_ENV_VARIABLE, unreachable + "," + daemon());
        assertThat(runIn(environment, "daemons")).isEqualTo(0);
        assertThat(out()).contains("catalogue@7");
        assertThat(runIn(ImmutableMap.of("GERANIUMUSHER_DAEMON", unreachable), "daemons"))
                .isEqualTo(46);
        assertThat(err()).contains("NO_DAEMON (406): no answer from 127.0.0.1:1 (");
    }

    /** An operator must see why a server gets no requests, until when, and at which daemon. */
    @Test
    void servers_tableAndJson_showLeavingPausedAndLimitedServersOfEachDaemon() {
        assertThat(run("servers")).isEqualTo(0);
        assertThat(out()).containsMatch("entry-1 +bs-1@5 +catalogue +SAID +- +0.0 +-\n");
        assertThat(out())
                .containsMatch(
                        "entry-1 +bs-2@6 +orders +NO +2026-12-05T03:00:00.250Z +2.\\d +1.5\n");
        assertThat(out()).contains("reported by 1 daemons\n");
        assertThat(run("servers", "--output", "json")).isEqualTo(0);
        assertThat(Json.readTree(out()).at("/daemons/0/servers/0/leaving").asText())
                .isEqualTo("SAID");
    }

    @Test
    void run_invalidArguments_isUsageError() {
        assertThat(runIn(ImmutableMap.of(), "daemons")).isEqualTo(ExitCode.USAGE);
        assertThat(err()).contains("set GERANIUMUSHER_DAEMON");
        assertThat(run("no-such-command")).isEqualTo(ExitCode.USAGE);
        assertThat(run("--help")).isEqualTo(0);
    }

    @Test
    void ownerAssignments_jsonAndTable() {
        assertThat(run("owner", "catalogue", "17", "--output", "json")).isEqualTo(0);
        assertThat(Json.readTree(out()).at("/range/owner").asText()).isEqualTo("bs-1");
        assertThat(run("assignments", "catalogue")).isEqualTo(0);
        assertThat(out()).contains("0      65535  bs-1   2");
    }

    @Test
    void reportBurn_html_printsTableAndWritesPage() throws IOException {
        BurnRates rates = BurnRates.create("entry-1", 1);
        rates.record("orders", 50, 100, 1_700_000_000_000L);
        mDaemon.setBurn(rates.report(ImmutableMap.of("orders", 0.9), 1_700_000_000_000L));
        Path page = mDirectory.resolve("burn.html");

        assertThat(run("report", "burn", "--html", page.toString())).isEqualTo(0);

        assertThat(out()).containsMatch("orders +0.9 +5.00 +5.00 +100 +50 +no");
        assertThat(out()).contains("counted by 1 daemons in the last hour, 0 requests not counted");
        assertThat(Files.readString(page)).contains("orders</td>");
    }

    private String daemon() {
        return mDaemon.address().toString();
    }

    private int run(String... args) {
        return runIn(ImmutableMap.of(CommandLine.DAEMONS_ENV_VARIABLE, daemon()), args);
    }

    private int runIn(Map<String, String> environment, String... args) {
        mOut.reset();
        mErr.reset();
        Main main =
                new Main(
                        environment,
                        new PrintStream(mOut, true, StandardCharsets.UTF_8),
                        new PrintStream(mErr, true, StandardCharsets.UTF_8),
                        timeout -> this::awaitNextPoll);
        return main.run(args);
    }

    private boolean awaitNextPoll() {
        if (mChangesBeforePolls.isEmpty()) {
            return false;
        }
        mChangesBeforePolls.remove(0).run();
        return true;
    }

    private String file(String name, String text) throws IOException {
        return Files.writeString(mDirectory.resolve(name), text).toString();
    }

    private String out() {
        return mOut.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return mErr.toString(StandardCharsets.UTF_8);
    }
}
