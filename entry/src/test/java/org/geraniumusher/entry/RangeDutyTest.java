package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.util.HashSet;
import java.util.Set;

/** Guards against keys that are given on while their last holder may still work on them. */
final class RangeDutyTest {
    private static final long MILLI = 1_000_000L;

    private static final int A_PORT = 11;
    private static final int B_PORT = 12;

    private final DutyFixture mFixture = new DutyFixture();
    private final FakeThread mThread = mFixture.thread();
    private final FakeStore mStore = mFixture.store();
    private Directory mDirectory;
    private boolean mAuthority = true;

    @AfterEach
    void closeFixture() {
        mFixture.close();
    }

    /** Starts a duty with two servers and runs it until each owns keys. */
    private RangeDuty startDuty() {
        mStore.put(StoreKind.SERVERS, "a", FakeWire.entry(A_PORT, false));
        mStore.put(StoreKind.SERVERS, "b", FakeWire.entry(B_PORT, false));
        DutyParts parts = mFixture.parts("d");
        parts.directory().start();
        RangeDuty duty =
                new RangeDuty(
                        FakeWire.SERVICE,
                        (service, old, next) -> parts.directory().tables().offer(service, next),
                        () -> mAuthority,
                        parts);
        mDirectory = parts.directory();
        run(duty, 3_000);
        assertThat(owners()).containsExactly("a@1", "b@1");
        return duty;
    }

    private void run(RangeDuty duty, int millis) {
        for (int i = 0; i < millis; i += 100) {
            mThread.advance(100 * MILLI);
            duty.tick(false);
        }
    }

    private Set<String> owners() {
        Set<String> owners = new HashSet<>();
        mStore.spec(StoreKind.RANGES, FakeWire.SERVICE)
                .path("ranges")
                .forEach(r -> owners.add(r.path("owner").asText()));
        return owners;
    }

    @Test
    void tick_readyServerRefusesConnections_keysAreGivenOnAtOnce() {
        RangeDuty duty = startDuty();
        mFixture.control().refuse("a");

        run(duty, 2_000);

        assertThat(owners()).containsExactly("b@1");
    }

    /**
     * The copy of the entry says ready while the store already says that the server leaves. Seen in
     * a hunt (vtgw-gate, scale-1, seed 41442972216) while watches heard nothing: OWNER at 4.027 s.
     */
    @Test
    void tick_leavingServerWithStaleEntryRefusesConnections_keysWaitForTheHold() {
        RangeDuty duty = startDuty();
        mStore.put(StoreKind.SERVERS, "a", FakeWire.entry(A_PORT, true));
        mFixture.control().refuse("a");

        run(duty, 2_000);

        assertThat(owners()).contains("a@1");
    }

    /**
     * Its authority has run out while a write is in flight; another daemon may coordinate when the
     * answer comes. Seen on vtgw-gate trouble-1: a coordinator that the store refused went on for
     * six seconds after its successor had begun.
     */
    @Test
    void onWriteResult_withoutAuthority_callsNoServer() {
        RangeDuty duty = startDuty();
        mStore.put(StoreKind.SERVERS, "a", FakeWire.entry(A_PORT, true));
        mDirectory.mirror(StoreKind.SERVERS).start();
        mStore.holdAnswers();
        duty.tick(false);
        mThread.advance(MILLI);
        int calls = mFixture.control().calls();

        mAuthority = false;
        mStore.releaseAnswers();
        mThread.advance(500 * MILLI);

        assertThat(mFixture.control().calls()).isEqualTo(calls);
    }

    /** An address is given to another server only after the one before has ended. */
    @Test
    void tick_silentServerAndLaterOneAtItsAddress_keysAreGivenOnAtOnce() {
        RangeDuty duty = startDuty();
        mFixture.control().silence("a");
        mStore.put(StoreKind.SERVERS, "n", FakeWire.laterEntryOfOtherService(A_PORT));
        mDirectory.mirror(StoreKind.SERVERS).start();

        run(duty, 500);

        assertThat(owners()).containsExactly("b@1");
    }
}
