package org.geraniumusher.tool;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;

import org.geraniumusher.burn.BurnRates;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.platform.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
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

/**
 * Guards against a tool that overwrites another operator's change, reports a drain as done too
 * early, stops at a silent daemon, or ends with an exit code that says nothing.
 */
class MainTest {
    private static final String DC = "data-centre";
    private static final String NADI = "{\"name\":\"nadi-b\",\"region\":\"west\",\"labels\":{}}";
    private static final String CONFLICT = "geraniumusher: CONFLICT (401): ";

    private final TestDaemon mDaemon = new TestDaemon();
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();
    private final List<Runnable> mPolls = new ArrayList<>();

    @TempDir private Path mDirectory;

    @BeforeEach
    void writeDataCentre() {
        mDaemon.write(DC, "nadi-b", "maria", NADI);
    }

    @AfterEach
    void close() {
        mDaemon.close();
    }

    @Test
    void apply_tomlFile_showsDiffThenWritesThenIsUnchanged() throws IOException {
        String file =
                file(
                        "a.toml",
                        "[[object]]\nkind = \"data-centre\"\nname = \"nadi-b\"\nregion = \"east\"\n"
                                + "[[object]]\nkind = \"service\"\nname = \"firing\"\n"
                                + "selector = \"app=firing\"\n");

        assertThat(run("apply", "-f", file, "--dry-run")).isEqualTo(0);
        assertThat(out()).contains("~ region: \"west\" -> \"east\"");
        assertThat(out()).contains("service firing: would be created");
        assertThat(mDaemon.object(DC, "nadi-b").writer()).isEqualTo("maria");

        assertThat(run("apply", "-f", file, "--as", "tomasi")).isEqualTo(0);
        assertThat(mDaemon.object(DC, "nadi-b").writer()).isEqualTo("tomasi");
        assertThat(run("apply", "-f", file)).isEqualTo(0);
        assertThat(out()).contains("service firing: unchanged, version 3");
    }

    @Test
    void apply_oneInvalidObject_writesNothing() throws IOException {
        String file =
                file(
                        "a.json",
                        "[{\"kind\":\"data-centre\",\"name\":\"ba-c\",\"region\":\"west\"},"
                                + "{\"kind\":\"route\",\"name\":\"r\"}]");

        assertThat(run("apply", "-f", file)).isEqualTo(42);
        assertThat(err()).contains("route without service");
        assertThat(mDaemon.object(DC, "ba-c")).isNull();
    }

    @Test
    void apply_changedSinceRead_saysWhoChangedWhat() throws IOException {
        String file = file("a.json", "{\"kind\":\"data-centre\"," + NADI.substring(1));
        String wanted = file("b.json", Files.readString(Path.of(file)).replace("west", "east"));
        mDaemon.addRace(() -> mDaemon.write(DC, "nadi-b", "tomasi", NADI.replace("west", "north")));

        assertThat(run("apply", "-f", wanted)).isEqualTo(41);
        assertThat(err())
                .startsWith(
                        CONFLICT
                                + "data-centre nadi-b was written by tomasi at version 2:"
                                + " region \"west\" -> \"north\"; read the object");
        assertThat(err().lines().count()).isEqualTo(1);
    }

    @Test
    void apply_outputOfGetThatIsOutdated_conflicts() throws IOException {
        run("--output", "json", "get", DC, "nadi-b");
        String file = file("a.json", out().replace("west", "east"));
        mDaemon.write(DC, "nadi-b", "tomasi", NADI.replace("west", "north"));

        assertThat(run("apply", "-f", file)).isEqualTo(41);
        assertThat(mDaemon.object(DC, "nadi-b").writer()).isEqualTo("tomasi");
    }

    @Test
    void label_otherFieldsChangedMeanwhile_retriesAtMostThreeTimes() {
        addRaces(3);
        assertThat(run("label", DC, "nadi-b", "tier=1")).isEqualTo(0);
        assertThat(mDaemon.object(DC, "nadi-b").spec().toString()).contains("\"tier\":\"1\"");
        assertThat(mDaemon.object(DC, "nadi-b").spec().toString()).contains("north3");

        addRaces(4);
        assertThat(run("label", DC, "nadi-b", "tier=2")).isEqualTo(41);
    }

    @Test
    void label_sameLabelChangedMeanwhile_reportsTheConflict() {
        mDaemon.addRace(
                () ->
                        mDaemon.write(
                                DC, "nadi-b", "tomasi", NADI.replace("{}", "{\"tier\":\"9\"}")));

        assertThat(run("label", DC, "nadi-b", "tier=1")).isEqualTo(41);
        assertThat(err()).contains("tomasi at version 2: labels.tier (absent) -> \"9\"");
    }

    @Test
    void drain_slicesAndDaemonsLag_waitsForBoth() {
        writeServers();
        mPolls.add(() -> mDaemon.setOwner("bs-9"));
        mPolls.add(() -> mDaemon.setVersionInForce(4));

        assertThat(run("drain", DC, "nadi-b")).isEqualTo(0);

        assertThat(mPolls).isEmpty();
        assertThat(mDaemon.object(DC, "nadi-b").spec().at("/labels/serving").asText())
                .isEqualTo("false");
        assertThat(err()).contains("1 slices left");
        assertThat(out()).contains("data-centre nadi-b: out of service, version 4");
    }

    @Test
    void drain_timeIsUp_saysWhatIsLeft() {
        writeServers();
        mDaemon.setVersionInForce(9);
        assertThat(run("drain", "backend-server", "bs-1")).isEqualTo(45);
        assertThat(err()).contains("NOT_IN_FORCE (405): 1 slices left");
    }

    @Test
    void returnToService_afterDrain_removesTheLabel() {
        mDaemon.setVersionInForce(9);
        mDaemon.write(DC, "nadi-b", "maria", NADI.replace("{}", "{\"serving\":\"false\"}"));
        assertThat(run("return", DC, "nadi-b")).isEqualTo(0);
        assertThat(mDaemon.object(DC, "nadi-b").spec().at("/labels").isEmpty()).isTrue();
    }

    @Test
    void get_firstDaemonSilent_asksTheNext() {
        String silent = "127.0.0.1:1";
        int code = runIn(ImmutableMap.of(), "--daemon", silent, "get", DC, "--daemon", daemon());
        assertThat(code).isEqualTo(0);
        assertThat(out()).contains("nadi-b");

        Map<String, String> environment =
                ImmutableMap.of(CommandLine.DAEMON_VARIABLE, silent + "," + daemon());
        assertThat(runIn(environment, "daemons")).isEqualTo(0);
        assertThat(out()).contains("catalogue@7");
        assertThat(runIn(ImmutableMap.of("GERANIUMUSHER_DAEMON", silent), "daemons")).isEqualTo(46);
        assertThat(err()).contains("NO_DAEMON (406): no answer from 127.0.0.1:1 (");
    }

    @Test
    void run_wrongArguments_isUsage() {
        assertThat(runIn(ImmutableMap.of(), "daemons")).isEqualTo(ExitCode.USAGE);
        assertThat(err()).contains("set GERANIUMUSHER_DAEMON");
        assertThat(run("get", "no-such-kind")).isEqualTo(ExitCode.USAGE);
        assertThat(run("label", DC, "nadi-b", "=x")).isEqualTo(ExitCode.USAGE);
        assertThat(run("--help")).isEqualTo(0);
    }

    @Test
    void ownerAssignmentsDelete_jsonAndTable() {
        assertThat(run("owner", "catalogue", "masi", "--output", "json")).isEqualTo(0);
        assertThat(Json.readTree(out()).at("/slice/owner").asText()).isEqualTo("bs-1");
        assertThat(run("assignments", "catalogue")).isEqualTo(0);
        assertThat(out()).contains("0000000000000000  ffffffffffffffff  bs-1   2");
        assertThat(run("delete", DC, "nadi-b")).isEqualTo(0);
        assertThat(run("get", DC, "nadi-b")).isEqualTo(ExitCode.of(ResultCode.NOT_FOUND));
    }

    @Test
    void apply_wait_endsWhenInForceOrSaysWhere() throws IOException {
        String file = file("a.json", "{\"kind\":\"data-centre\"," + NADI.substring(1));
        assertThat(run("apply", "-f", file, "--wait")).isEqualTo(45);
        assertThat(err()).contains("in force at 0 of 1 daemons, missing at entry-1");

        mPolls.add(() -> mDaemon.setVersionInForce(1));
        assertThat(run("apply", "-f", file, "--wait")).isEqualTo(0);
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

    private void addRaces(int count) {
        for (int i = 1; i <= count; i++) {
            String region = "north" + i;
            mDaemon.addRace(() -> mDaemon.write(DC, "nadi-b", "x", NADI.replace("west", region)));
        }
    }

    private void writeServers() {
        mDaemon.write(
                "backend-server",
                "bs-1",
                "maria",
                "{\"name\":\"bs-1\",\"address\":\"127.0.0.1:9\",\"dataCentre\":\"nadi-b\"}");
        mDaemon.write(
                "service",
                "catalogue",
                "maria",
                "{\"name\":\"catalogue\",\"selector\":\"a\",\"keyed\":true,\"slices\":1}");
    }

    private String daemon() {
        return mDaemon.address().toString();
    }

    private int run(String... args) {
        return runIn(ImmutableMap.of(CommandLine.DAEMON_VARIABLE, daemon()), args);
    }

    private int runIn(Map<String, String> environment, String... args) {
        mOut.reset();
        mErr.reset();
        Main main =
                new Main(
                        environment,
                        new PrintStream(mOut, true, StandardCharsets.UTF_8),
                        new PrintStream(mErr, true, StandardCharsets.UTF_8),
                        timeout -> this::nextPoll);
        return main.run(args);
    }

    private boolean nextPoll() {
        if (mPolls.isEmpty()) {
            return false;
        }
        mPolls.remove(0).run();
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
