package org.geraniumusher.limit;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/** Guards against requests that pass without a permit, and requests that wait for nothing. */
final class LimitGateTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;

    private final LimitGate mGate = limited("2", 0.5);

    private static LimitGate limited(String rate, double phase) {
        LimitGate gate = new LimitGate(phase);
        gate.limit().onAnswer(ImmutableList.of(rate), 0, 1);
        return gate;
    }

    private static PermitLedger.Grant grant(int count, long delay, long interval, long next) {
        return new PermitLedger.Grant(new PermitSchedule.Booking(count, delay, interval, next), 1);
    }

    @Test
    void tryPass_noLimit_passes() {
        LimitGate gate = new LimitGate(0);

        assertThat(gate.tryPass(0)).isTrue();
        assertThat(gate.tryPass(0)).isTrue();
    }

    @Test
    void tryPass_limit_takesPermitAtItsTime() {
        assertThat(mGate.tryPass(SECOND)).isFalse();
        mGate.want(SECOND, 0);
        mGate.beginAsk(SECOND).orElseThrow();
        mGate.onBooked(grant(1, 100 * MILLI, SECOND / 2, SECOND), SECOND);

        assertThat(mGate.tryPass(SECOND)).isFalse();
        assertThat(mGate.tryPass(SECOND + 100 * MILLI)).isTrue();
        assertThat(mGate.tryPass(SECOND + 100 * MILLI)).isFalse();
    }

    /** Permits that are kept for later would be used in a burst. */
    @Test
    void tryPass_permitThatWasNotUsedInTime_isGone() {
        mGate.want(SECOND, 0);
        mGate.beginAsk(SECOND).orElseThrow();
        mGate.onBooked(grant(1, 0, SECOND / 2, SECOND / 2), SECOND);

        assertThat(mGate.tryPass(SECOND + PermitSchedule.VALID_NANOS + 1)).isFalse();
    }

    @Test
    void beginAsk_permitsHeld_asksForTheRestOnly() {
        mGate.want(SECOND, 1);
        mGate.want(2 * SECOND, 0);
        LimitGate.Ask ask = mGate.beginAsk(SECOND).orElseThrow();
        assertThat(ask).isEqualTo(new LimitGate.Ask(2, 2 * SECOND, 0));
        mGate.want(SECOND, 0);
        assertThat(mGate.beginAsk(SECOND)).isEqualTo(Optional.empty());

        mGate.onBooked(grant(2, SECOND, SECOND / 2, 2 * SECOND), SECOND);
        for (int i = 0; i < 3; i++) {
            mGate.want(SECOND, 0);
        }
        assertThat(mGate.beginAsk(SECOND).orElseThrow().wanted()).isEqualTo(1);
    }

    /** A request behind others that use up the permits waits in vain. */
    @Test
    void opensAtNanos_othersWait_isAfterTheirPermits() {
        mGate.want(SECOND, 0);
        mGate.beginAsk(SECOND).orElseThrow();
        mGate.onBooked(grant(1, 100 * MILLI, SECOND / 2, 600 * MILLI), SECOND);

        assertThat(mGate.opensAtNanos(SECOND)).isEqualTo(SECOND + 100 * MILLI);
        mGate.want(SECOND, 0);
        assertThat(mGate.opensAtNanos(SECOND)).isEqualTo(SECOND + 600 * MILLI);
        mGate.want(SECOND, 0);
        assertThat(mGate.opensAtNanos(SECOND)).isEqualTo(SECOND + 1_100 * MILLI);
    }

    /** Callers that come back at the same time would be rejected again. */
    @Test
    void nextReturnNanos_manyCallers_spreadsThem() {
        mGate.want(SECOND, 0);
        mGate.beginAsk(SECOND).orElseThrow();
        mGate.onBooked(grant(0, SECOND, SECOND / 2, SECOND), SECOND);

        long first = mGate.nextReturnNanos(SECOND);
        assertThat(first).isEqualTo(2 * SECOND);
        assertThat(mGate.nextReturnNanos(SECOND)).isEqualTo(first + SECOND / 2);
        for (int i = 0; i < 1_000; i++) {
            mGate.nextReturnNanos(SECOND);
        }
        assertThat(mGate.nextReturnNanos(SECOND)).isAtMost(11 * SECOND);
    }

    @Test
    void wantForLater_notTheTurnOfTheDaemon_asksForNothing() {
        mGate.want(SECOND, 0);
        mGate.beginAsk(SECOND).orElseThrow();
        mGate.onBooked(grant(0, SECOND, SECOND / 2, SECOND), SECOND);

        mGate.wantForLater(SECOND + 1);
        assertThat(mGate.beginAsk(SECOND + 1)).isEqualTo(Optional.empty());
        mGate.wantForLater(3 * SECOND);
        assertThat(mGate.beginAsk(3 * SECOND).orElseThrow().wanted()).isEqualTo(1);
    }

    /** Each daemon with a token at hand would be as many requests as there are daemons. */
    @Test
    void onNoAnswer_allDaemonsOfLargeFleet_staysBelowTheLimitTogether() {
        Random random = new Random(7);
        int daemons = 95;
        List<LimitGate> gates = new ArrayList<>();
        for (int i = 0; i < daemons; i++) {
            gates.add(limited("2", random.nextDouble()));
        }
        List<Long> passed = new ArrayList<>();
        for (long now = SECOND; now < 200 * SECOND; now += 10 * MILLI) {
            for (LimitGate gate : gates) {
                gate.want(SECOND, 0);
                long at = now;
                gate.beginAsk(now).ifPresent(ask -> gate.onNoAnswer(ask, daemons, at));
                if (gate.tryPass(now)) {
                    passed.add(now);
                }
            }
        }
        for (int first = 0; first + 17 < passed.size(); first++) {
            assertThat(passed.get(first + 17) - passed.get(first)).isGreaterThan(4 * SECOND);
        }
        assertThat(passed.size()).isAtLeast(100);
    }

    /** The size of the fleet is not known in the first second of a daemon. */
    @Test
    void onNoAnswer_unknownNumberOfDaemons_nothingPasses() {
        mGate.want(SECOND, 0);
        LimitGate.Ask ask = mGate.beginAsk(SECOND).orElseThrow();
        mGate.onNoAnswer(ask, 0, SECOND);

        assertThat(mGate.isOpen(SECOND)).isFalse();
        assertThat(mGate.opensAtNanos(SECOND)).isGreaterThan(SECOND);
    }
}
