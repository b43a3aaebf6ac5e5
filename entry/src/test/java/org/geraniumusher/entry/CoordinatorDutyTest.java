package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;

import org.geraniumusher.dispatch.LoadReport;
import org.geraniumusher.keyrange.KeyRange;
import org.geraniumusher.model.Address;
import org.geraniumusher.traffic.RouterConfig;
import org.geraniumusher.traffic.ServerEntry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Guards the election of a daemon and its resignation at a stop. */
final class CoordinatorDutyTest {
    private static final long MILLI = 1_000_000L;
    private static final String RECORD = "coordinator";

    private final FakeThread mThread = new FakeThread();
    private final FakeStore mStore = new FakeStore();
    private final DecisionLog mLog =
            DecisionLog.start(
                    mThread::now, () -> 0, new PrintStream(new ByteArrayOutputStream(), true));

    @AfterEach
    void closeLog() {
        mLog.close();
    }

    private CoordinatorDuty duty(String name) {
        Address address = Address.of("127.0.0.1:9");
        EntrySettings settings =
                EntrySettings.builder()
                        .setIdentity(name, "z")
                        .setListen(address, address, address)
                        .build();
        Directory directory = new Directory(mStore, new NoWire(), mThread, mThread::now, mLog);
        CoordinatorDuty duty =
                new CoordinatorDuty(
                        new DutyParts(
                                settings,
                                1,
                                directory,
                                mStore,
                                new NoControl(),
                                mThread,
                                mThread::now,
                                mLog,
                                new EntryMetrics()));
        duty.start();
        mThread.advance(600 * MILLI);
        return duty;
    }

    private String holder() {
        return mStore.spec(StoreKind.COORDINATORS, RECORD).path("daemon").asText();
    }

    @Test
    void start_noRecord_takesTheOffice() {
        CoordinatorDuty duty = duty("a");

        assertThat(duty.isActing()).isTrue();
        assertThat(holder()).startsWith("a/");
    }

    @Test
    void start_otherActs_doesNot() {
        duty("a");
        CoordinatorDuty second = duty("b");

        mThread.advance(10_000 * MILLI);

        assertThat(second.isActing()).isFalse();
    }

    @Test
    void resign_acting_leavesTheOfficeVacant() {
        CoordinatorDuty duty = duty("a");

        duty.resign();

        assertThat(holder()).isEmpty();
        assertThat(duty.isActing()).isFalse();
    }

    /**
     * A renewal that is on its way must not undo the resignation. Seen in the incident of vtgw-gate
     * (docs/incidents/vtgw-gate-1.md): nobody coordinated for four seconds after a stop.
     */
    @Test
    void resign_renewalInFlight_leavesTheOfficeVacant() {
        CoordinatorDuty duty = duty("a");
        mStore.holdAnswers();
        mThread.advance(1_600 * MILLI);

        duty.resign();
        mStore.releaseAnswers();
        mThread.advance(200 * MILLI);

        assertThat(holder()).isEmpty();
        assertThat(duty.isActing()).isFalse();
    }

    @Test
    void resign_notActing_writesNothing() {
        duty("a");
        CoordinatorDuty second = duty("b");

        second.resign();

        assertThat(holder()).startsWith("a/");
    }

    /** A store that is away costs the office once its authority has run out. */
    @Test
    void tick_storeIsAway_actsOnlyWithAuthority() {
        CoordinatorDuty duty = duty("a");
        mStore.setDown(true);

        mThread.advance(3_000 * MILLI);
        assertThat(duty.isActing()).isTrue();
        mThread.advance(2_500 * MILLI);
        assertThat(duty.isActing()).isFalse();
        mStore.setDown(false);
        mThread.advance(1_500 * MILLI);
        assertThat(duty.isActing()).isTrue();
    }

    /** Knows no names of a wire. */
    private static final class NoWire implements Wire {
        @Override
        public StoreObject object(JsonNode content) {
            throw new IllegalArgumentException("no object");
        }

        @Override
        public HeaderNames headers() {
            return new HeaderNames("", "", "", "", "", "", "", "", "");
        }

        @Override
        public RouterConfig configuration(JsonNode spec) {
            throw new IllegalArgumentException("no configuration");
        }

        @Override
        public ServerEntry server(StoreObject object) {
            throw new IllegalArgumentException("no server");
        }

        @Override
        public Optional<LoadReport> load(String header) {
            return Optional.empty();
        }
    }

    /** Reaches no server. */
    private static final class NoControl implements ServerControl {
        @Override
        public CompletableFuture<GrantResult> grant(
                ServerEntry server,
                KeyRange range,
                long fence,
                long holdNanos,
                Optional<String> handover) {
            return CompletableFuture.completedFuture(new GrantResult.NoAnswer("no server"));
        }

        @Override
        public CompletableFuture<GrantResult> release(
                ServerEntry server, KeyRange range, long fence) {
            return CompletableFuture.completedFuture(new GrantResult.NoAnswer("no server"));
        }
    }
}
