package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.geraniumusher.keyrange.CoordinatorRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the election of a daemon and its resignation when it stops. */
final class CoordinatorServiceTest {
    private static final long MILLI = 1_000_000L;
    private static final String RECORD_NAME = "coordinator";

    private final DaemonContextFixture mFixture = new DaemonContextFixture();
    private final FakeEventThread mThread = mFixture.thread();
    private final FakeStore mStore = mFixture.store();

    @AfterEach
    void closeFixture() {
        mFixture.close();
    }

    private CoordinatorService startService(String name) {
        CoordinatorService service = new CoordinatorService(mFixture.createContext(name));
        service.start();
        mThread.advance(600 * MILLI);
        return service;
    }

    private String recordedDaemon() {
        return mStore.spec(StoreKind.COORDINATORS, RECORD_NAME).path("daemon").asText();
    }

    @Test
    void start_noRecord_becomesCoordinator() {
        CoordinatorService service = startService("a");

        assertThat(service.isActing()).isTrue();
        assertThat(recordedDaemon()).startsWith("a/");
    }

    @Test
    void start_otherDaemonIsCoordinator_doesNotAct() {
        startService("a");
        CoordinatorService second = startService("b");

        mThread.advance(10_000 * MILLI);

        assertThat(second.isActing()).isFalse();
    }

    @Test
    void resign_acting_vacatesRecord() {
        CoordinatorService service = startService("a");

        service.resign();

        assertThat(recordedDaemon()).isEmpty();
        assertThat(service.isActing()).isFalse();
    }

    /**
     * A renewal that was in flight at the resignation put the stopped daemon back into the record,
     * and no daemon coordinated for four seconds (docs/incidents/vtgw-gate-1.md).
     */
    @Test
    void resign_renewalInFlight_vacatesRecord() {
        CoordinatorService service = startService("a");
        mStore.holdAnswers();
        mThread.advance(1_600 * MILLI);

        service.resign();
        mStore.releaseAnswers();
        mThread.advance(200 * MILLI);

        assertThat(recordedDaemon()).isEmpty();
        assertThat(service.isActing()).isFalse();
    }

    /**
     * A renewal that was sent before a restore was executed after it. The stopped daemon then wrote
     * a vacant record of the new epoch, with which others took over without waiting.
     */
    @Test
    void resign_renewalExecutedAfterRestore_writesNoRecordOfNewEpoch() {
        CoordinatorService service = startService("a");
        mStore.restore(mStore.backup());
        mStore.holdAnswers();
        mThread.advance(1_600 * MILLI);

        service.resign();
        mStore.releaseAnswers();
        mThread.advance(200 * MILLI);

        JsonNode record = mStore.spec(StoreKind.COORDINATORS, RECORD_NAME);
        assertThat(mStore.epoch().current()).isEqualTo(2);
        assertThat(record.path("epoch").asLong()).isEqualTo(1);
    }

    @Test
    void resign_notActing_writesNothing() {
        startService("a");
        CoordinatorService second = startService("b");

        second.resign();

        assertThat(recordedDaemon()).startsWith("a/");
    }

    /**
     * After a restore nobody coordinated for the rest of the day: all daemons ignored the restored
     * record, whose revision is lower, and wrote at the revision that they knew.
     */
    @Test
    void tick_storeIsRestored_coordinatorContinuesAndRenews() {
        CoordinatorService service = startService("a");
        FakeStore.Backup backup = mStore.backup();
        mThread.advance(5_000 * MILLI);
        mStore.restore(backup);

        for (int i = 0; i < 100; i++) {
            mThread.advance(100 * MILLI);
            assertThat(service.isActing()).isTrue();
        }

        JsonNode record = mStore.spec(StoreKind.COORDINATORS, RECORD_NAME);
        assertThat(record.path("epoch").asLong()).isEqualTo(2);
        assertThat(record.path("daemon").asText()).startsWith("a/");
    }

    /** The restored record can name a former coordinator, which must not take over at once. */
    @Test
    void tick_restoredRecordNamesFormerCoordinator_currentOneContinues() {
        CoordinatorService first = startService("a");
        CoordinatorService second = startService("b");
        FakeStore.Backup backup = mStore.backup();
        first.resign();
        mThread.advance(2_000 * MILLI);
        assertThat(second.isActing()).isTrue();

        mStore.restore(backup);
        mThread.advance(3_000 * MILLI);

        assertThat(second.isActing()).isTrue();
        assertThat(recordedDaemon()).startsWith("b/");
    }

    /** The backup may be older than the first record, and another daemon may still coordinate. */
    @Test
    void start_recordIsMissingFromRestoredStore_waitsForTakeoverTime() {
        mStore.restore(mStore.backup());
        CoordinatorService service = startService("a");

        mThread.advance(3_500 * MILLI);
        assertThat(service.isActing()).isFalse();
        mThread.advance(2_000 * MILLI);
        assertThat(service.isActing()).isTrue();
    }

    /** A coordinator that was suspended acted for up to 1.5 s while another one did. */
    @Test
    void tick_suspendedForLongerThanTakeover_doesNotActAgain() {
        CoordinatorService service = startService("a");
        CoordinatorRecord own = service.coordinator().orElseThrow();
        mFixture.suspend(6_000 * MILLI);
        mStore.replace(
                StoreKind.COORDINATORS, RECORD_NAME, otherRecord(), own.version().revision());

        for (int i = 0; i < 30; i++) {
            mThread.advance(100 * MILLI);
            assertThat(service.isActing()).isFalse();
        }
    }

    private static ObjectNode otherRecord() {
        return JsonNodeFactory.instance
                .objectNode()
                .put("daemon", "b/127.0.0.1")
                .put("incarnation", 1)
                .put("peer", "127.0.0.1:1");
    }

    /** After a short suspension the coordinator goes on as soon as the store has confirmed it. */
    @Test
    void tick_suspendedBriefly_actsOnceConfirmed() {
        CoordinatorService service = startService("a");
        mStore.setDown(true);
        mFixture.suspend(1_000 * MILLI);

        mThread.advance(200 * MILLI);
        assertThat(service.isActing()).isFalse();
        mStore.setDown(false);
        mThread.advance(1_000 * MILLI);
        assertThat(service.isActing()).isTrue();
    }

    /** During a store outage a coordinator acts until its authority expires, and again after it. */
    @Test
    void tick_storeIsUnavailable_actsOnlyWithAuthority() {
        CoordinatorService service = startService("a");
        mStore.setDown(true);

        mThread.advance(3_000 * MILLI);
        assertThat(service.isActing()).isTrue();
        mThread.advance(2_500 * MILLI);
        assertThat(service.isActing()).isFalse();
        mStore.setDown(false);
        mThread.advance(1_500 * MILLI);
        assertThat(service.isActing()).isTrue();
    }
}
