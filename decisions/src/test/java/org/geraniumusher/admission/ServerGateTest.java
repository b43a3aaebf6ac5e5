package org.geraniumusher.admission;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.geraniumusher.admission.Admission.Dispatch;
import org.geraniumusher.admission.Admission.Queued;
import org.geraniumusher.admission.Admission.Refused;
import org.geraniumusher.model.Outcome;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.model.Route.Priority;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;

/**
 * Guards against a server that gets more than its slots, orders that wait for reads, requests that
 * wait although their deadline is lost, and requests that are answered twice or never.
 */
class ServerGateTest {
    private static final long MILLI = 1_000_000;

    private long mNow;

    private ServerGate gate(int slots, int queue) {
        return ServerGate.create(
                SlowStart.create(WarmUp.NONE, slots, 1, Duration.ofSeconds(10), mNow), queue);
    }

    private ImmutableList<Admission> read(ServerGate gate, long id, long deadlineMillis) {
        return gate.submit(request(id, Priority.READ, deadlineMillis), mNow);
    }

    private ImmutableList<Admission> order(ServerGate gate, long id) {
        return gate.submit(request(id, Priority.ORDER, 9_000), mNow);
    }

    private ImmutableList<Admission> finish(ServerGate gate, long id, long millis) {
        return gate.finished(id, Outcome.RAN, millis * MILLI, mNow);
    }

    private static GateRequest request(long id, Priority priority, long deadlineMillis) {
        return new GateRequest(id, priority, deadlineMillis * MILLI);
    }

    @Test
    void submit_allSlotsBusy_queues() {
        ServerGate gate = gate(1, 9);
        assertThat(read(gate, 1, 9_000)).containsExactly(new Dispatch(1));
        assertThat(read(gate, 2, 9_000)).containsExactly(new Queued(2));
        assertThat(finish(gate, 1, 6)).containsExactly(new Dispatch(2));
    }

    @Test
    void finished_orderAndReadWait_orderFirst() {
        ServerGate gate = gate(1, 9);
        read(gate, 1, 9_000);
        read(gate, 2, 9_000);
        order(gate, 3);
        assertThat(finish(gate, 1, 6)).containsExactly(new Dispatch(3));
    }

    @Test
    void submit_queueFullOfReads_orderDisplacesOldestRead() {
        ServerGate gate = gate(1, 2);
        read(gate, 1, 9_000);
        read(gate, 2, 9_000);
        read(gate, 3, 9_000);
        ImmutableList<Admission> verdicts = order(gate, 4);
        assertThat(verdicts)
                .containsExactly(new Refused(2, ResultCode.OVERLOADED, 1), new Queued(4));
        assertThat(((Refused) read(gate, 5, 9_000).get(0)).code()).isEqualTo(ResultCode.OVERLOADED);
    }

    @Test
    void submit_deadlineBeforeExpectedEnd_refusedAtOnceWithRetryAfter() {
        ServerGate gate = gate(1, 9);
        read(gate, 1, 9_000);
        finish(gate, 1, 50);
        read(gate, 2, 9_000);
        read(gate, 3, 9_000);
        Refused refused = (Refused) read(gate, 4, 120).get(0);
        assertThat(refused.code()).isEqualTo(ResultCode.DEADLINE_UNREACHABLE);
        assertThat(refused.code().outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(refused.retryAfterMillis()).isAtLeast(100);
    }

    @Test
    void submit_idleServerWithSlowPast_getsRequest() {
        ServerGate gate = gate(2, 9);
        read(gate, 1, 9_000);
        finish(gate, 1, 500);
        assertThat(read(gate, 2, 100)).containsExactly(new Dispatch(2));
    }

    @Test
    void tick_deadlinePassedInQueue_refused() {
        ServerGate gate = gate(1, 9);
        read(gate, 1, 9_000);
        read(gate, 2, 30);
        mNow = 31 * MILLI;
        assertThat(((Refused) gate.tick(mNow).get(0)).code())
                .isEqualTo(ResultCode.DEADLINE_UNREACHABLE);
        assertThat(finish(gate, 1, 31)).isEmpty();
    }

    @Test
    void finished_longOverload_newestReadFirst() {
        ServerGate gate = gate(1, 9);
        read(gate, 1, 9_000);
        read(gate, 2, 9_000);
        read(gate, 3, 9_000);
        mNow = 100 * MILLI;
        assertThat(finish(gate, 1, 100)).containsExactly(new Dispatch(3));
    }

    @Test
    void cancel_queued_neverDispatched() {
        ServerGate gate = gate(1, 9);
        read(gate, 1, 9_000);
        read(gate, 2, 9_000);
        gate.cancel(2, mNow);
        assertThat(finish(gate, 1, 6)).isEmpty();
    }

    @Test
    void cancel_running_slotStaysInUseUntilItsEnd() {
        ServerGate gate = gate(1, 9);
        read(gate, 1, 9_000);
        assertThat(gate.cancel(1, mNow)).containsExactly(new Admission.Abort(1));
        assertThat(read(gate, 2, 9_000)).containsExactly(new Queued(2));
    }

    @Test
    void limitConcurrency_straggler_narrowsSlots() {
        ServerGate gate = gate(2, 9);
        gate.limitConcurrency(1, mNow);
        read(gate, 1, 9_000);
        assertThat(read(gate, 2, 9_000)).containsExactly(new Queued(2));
        assertThat(gate.limitConcurrency(2, mNow)).containsExactly(new Dispatch(2));
    }

    @Test
    void events_thatTellOfColdServer_coolIt() {
        List<Function<ServerGate, ImmutableList<Admission>>> events =
                ImmutableList.of(
                        gate -> gate.refusedByServer(1, mNow),
                        gate -> gate.newIncarnation(mNow),
                        gate -> gate.returnedToService(mNow),
                        gate -> {
                            gate.connectionReset(mNow);
                            return gate.connectionReset(mNow);
                        });
        for (Function<ServerGate, ImmutableList<Admission>> event : events) {
            SlowStart start = SlowStart.create(WarmUp.BY_WORK, 6, 2, Duration.ofSeconds(10), mNow);
            ServerGate gate = ServerGate.create(start, 9);
            gate.takeOverWarm(mNow);
            mNow += 1_000 * MILLI;
            read(gate, 1, 99_000);
            assertThat(gate.usableSlots()).isEqualTo(6);
            event.apply(gate);
            assertThat(gate.usableSlots()).isEqualTo(2);
        }
    }

    @Test
    void finished_cancelledEarly_doesNotLowerEstimate() {
        ServerGate gate = gate(1, 9);
        read(gate, 1, 9_000);
        finish(gate, 1, 50);
        read(gate, 2, 9_000);
        gate.finished(2, Outcome.UNKNOWN, MILLI, mNow);
        assertThat(gate.load().serviceNanos()).isEqualTo(50 * MILLI);
        read(gate, 3, 9_000);
        gate.finished(3, Outcome.UNKNOWN, 500 * MILLI, mNow);
        assertThat(gate.load().serviceNanos()).isGreaterThan(50 * MILLI);
    }

    @Property(seed = "42", tries = 300)
    void anyEvents_slotsKeptAndOneVerdictEach(@ForAll long seed) {
        Random random = new Random(seed);
        ServerGate gate =
                ServerGate.create(
                        SlowStart.create(WarmUp.BY_WORK, 6, 2, Duration.ofMillis(300), mNow), 5);
        Map<Long, String> state = new HashMap<>();
        Set<Long> running = new HashSet<>();
        for (long id = 0; id < 400; id++) {
            mNow += random.nextInt(3) * MILLI;
            Priority priority = Priority.values()[random.nextInt(2)];
            long deadline = mNow / MILLI + 1 + random.nextInt(90);
            apply(gate.submit(request(id, priority, deadline), mNow), state, running, gate);
            if (!running.isEmpty() && random.nextBoolean()) {
                long done = running.iterator().next();
                running.remove(done);
                boolean refused = random.nextInt(20) == 0;
                apply(
                        refused ? gate.refusedByServer(done, mNow) : finish(gate, done, 5),
                        state,
                        running,
                        gate);
            }
        }
        while (!running.isEmpty()) {
            long done = running.iterator().next();
            running.remove(done);
            apply(finish(gate, done, 5), state, running, gate);
        }
        assertThat(state).hasSize(400);
        assertThat(state.values()).doesNotContain("Queued");
    }

    private static void apply(
            ImmutableList<Admission> verdicts,
            Map<Long, String> state,
            Set<Long> running,
            ServerGate gate) {
        for (Admission verdict : verdicts) {
            String old = state.put(verdict.id(), verdict.getClass().getSimpleName());
            assertThat(old).isAnyOf(null, "Queued");
            if (verdict instanceof Dispatch) {
                running.add(verdict.id());
                assertThat(running.size()).isAtMost(gate.usableSlots());
            }
        }
    }
}
