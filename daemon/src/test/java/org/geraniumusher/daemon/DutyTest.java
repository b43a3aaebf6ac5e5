package org.geraniumusher.daemon;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Guards against accepted events that never run, events that stop the thread, and a full ring that
 * blocks or goes unnoticed.
 */
class DutyTest {
    private static final Duration PERIOD = Duration.ofMillis(50);
    private final MetricRegistry mRegistry = new MetricRegistry();

    @Property(seed = "42", tries = 100)
    void close_producersStillOffer_everyAcceptedEventRunsOnce(
            @ForAll @IntRange(min = 1, max = 4) int producers,
            @ForAll @IntRange(min = 2, max = 64) int capacity,
            @ForAll long seed)
            throws InterruptedException {
        AtomicInteger accepted = new AtomicInteger();
        AtomicInteger ran = new AtomicInteger();
        Duty duty = start(capacity);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < producers; i++) {
            threads.add(new Thread(() -> offerMany(duty, accepted, ran)));
        }
        threads.forEach(Thread::start);
        int before = new Random(seed).nextInt(1_000);
        while (accepted.get() < before && threads.stream().anyMatch(Thread::isAlive)) {
            Thread.onSpinWait();
        }
        duty.close();
        for (Thread thread : threads) {
            thread.join();
        }
        assertThat(ran.get()).isEqualTo(accepted.get());
    }

    @Test
    void offer_ringFull_refusedAndCounted() throws InterruptedException {
        CountDownLatch running = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        try (Duty duty = start(2)) {
            duty.offer(
                    () -> {
                        running.countDown();
                        awaitQuietly(release);
                    });
            running.await();
            assertThat(duty.offer(() -> {})).isTrue();
            assertThat(duty.offer(() -> {})).isTrue();
            assertThat(duty.offer(() -> {})).isFalse();
            release.countDown();
        }
        assertThat(mRegistry.counter("duty.test.refused").getCount()).isEqualTo(1);
    }

    @Test
    void offer_eventThrows_laterEventsRun() throws InterruptedException {
        CountDownLatch ran = new CountDownLatch(1);
        try (Duty duty = start(16)) {
            duty.offer(
                    () -> {
                        throw new IllegalStateException("expected by the test");
                    });
            duty.offer(ran::countDown);
            assertThat(ran.await(10, TimeUnit.SECONDS)).isTrue();
        }
        assertThat(mRegistry.counter("duty.test.failed").getCount()).isEqualTo(1);
    }

    @Test
    void run_clockAdvances_ticksOncePerPeriod() throws InterruptedException {
        AtomicLong clock = new AtomicLong();
        BlockingQueue<Long> ticks = new LinkedBlockingQueue<>();
        try (Duty duty = Duty.start("test", 16, PERIOD, clock::get, ticks::add, mRegistry)) {
            assertThat(ticks.poll(10, TimeUnit.SECONDS)).isEqualTo(0);
            clock.set(PERIOD.toNanos() * 3);
            duty.offer(() -> {});
            assertThat(ticks.poll(10, TimeUnit.SECONDS)).isEqualTo(PERIOD.toNanos() * 3);
            CountDownLatch idle = new CountDownLatch(1);
            duty.offer(idle::countDown);
            idle.await();
            assertThat(ticks).isEmpty();
        }
    }

    private Duty start(int capacity) {
        return Duty.start("test", capacity, PERIOD, System::nanoTime, now -> {}, mRegistry);
    }

    private static void offerMany(Duty duty, AtomicInteger accepted, AtomicInteger ran) {
        for (int i = 0; i < 1_000; i++) {
            if (duty.offer(ran::incrementAndGet)) {
                accepted.incrementAndGet();
            }
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
