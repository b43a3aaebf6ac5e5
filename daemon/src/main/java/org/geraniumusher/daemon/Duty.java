package org.geraniumusher.daemon;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;

import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;

import java.lang.invoke.VarHandle;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * Runs events and ticks on one named thread.
 *
 * <p>Events come from any thread through a bounded ring and run in the order of acceptance. Every
 * event that {@link #offer} accepted runs, also when the duty is closed meanwhile. An event or tick
 * that throws is logged and does not stop the thread. The thread parks when there is nothing to do.
 * Thread-safe.
 */
public final class Duty implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Events run between two looks at the clock, so that a full ring does not delay ticks. */
    private static final int BATCH = 256;

    private final ManyToOneConcurrentArrayQueue<Runnable> mRing;
    private final long mPeriodNanos;
    private final LongSupplier mNanoClock;
    private final LongConsumer mOnTick;
    private final Counter mRefused;
    private final Counter mFailed;
    private final Thread mThread;
    private final AtomicInteger mOffering = new AtomicInteger();
    private volatile boolean mClosing;
    private volatile boolean mParked;

    private Duty(
            String name,
            int capacity,
            Duration period,
            LongSupplier nanoClock,
            LongConsumer onTick,
            MetricRegistry registry) {
        mRing = new ManyToOneConcurrentArrayQueue<>(capacity);
        mPeriodNanos = period.toNanos();
        mNanoClock = nanoClock;
        mOnTick = onTick;
        mRefused = registry.counter("duty." + name + ".refused");
        mFailed = registry.counter("duty." + name + ".failed");
        mThread = new Thread(this::run, name);
        mThread.setDaemon(true);
    }

    /**
     * Starts a duty.
     *
     * @param capacity events that may wait; rounded up to a power of two
     * @param period time between two ticks
     * @param onTick takes the time of {@code nanoClock} at each tick
     */
    public static Duty start(
            String name,
            int capacity,
            Duration period,
            LongSupplier nanoClock,
            LongConsumer onTick,
            MetricRegistry registry) {
        checkArgument(capacity >= 2, "bad capacity of %s: %s", name, capacity);
        checkArgument(!period.isNegative() && !period.isZero(), "bad period: %s", period);
        checkNotNull(nanoClock, "clock");
        checkNotNull(onTick, "tick");
        Duty duty = new Duty(name, capacity, period, nanoClock, onTick, registry);
        duty.mThread.start();
        return duty;
    }

    /** Accepts an event, or counts and refuses it when the ring is full or the duty closes. */
    public boolean offer(Runnable event) {
        checkNotNull(event, "event");
        mOffering.incrementAndGet();
        boolean accepted;
        try {
            accepted = !mClosing && mRing.offer(event);
        } finally {
            mOffering.decrementAndGet();
        }
        if (accepted) {
            wake();
        } else {
            mRefused.inc();
        }
        return accepted;
    }

    /** Refuses further events, runs those accepted, and waits for the thread to end. */
    @Override
    public void close() {
        mClosing = true;
        LockSupport.unpark(mThread);
        if (Thread.currentThread() == mThread) {
            return;
        }
        boolean interrupted = false;
        while (mThread.isAlive()) {
            try {
                mThread.join();
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void wake() {
        // The ring stores elements with release semantics only; the fence orders the store before
        // the look at the flag, so that either the thread sees the event or it is unparked.
        VarHandle.fullFence();
        if (mParked) {
            LockSupport.unpark(mThread);
        }
    }

    private void run() {
        long nextTick = mNanoClock.getAsLong();
        while (!mClosing) {
            int events = drain();
            long now = mNanoClock.getAsLong();
            if (now - nextTick >= 0) {
                guard(() -> mOnTick.accept(now));
                nextTick = following(nextTick, now);
            } else if (events == 0) {
                park(nextTick - now);
            }
        }
        // An offer that began before the flag was set may still add its event.
        while (mOffering.get() > 0 || !mRing.isEmpty()) {
            if (drain() == 0) {
                Thread.onSpinWait();
            }
        }
    }

    /** Returns the time of the next tick; ticks that were missed are left out. */
    private long following(long tick, long now) {
        long next = tick + mPeriodNanos;
        return next - now > 0 ? next : now + mPeriodNanos;
    }

    private int drain() {
        int count = 0;
        while (count < BATCH) {
            Runnable event = mRing.poll();
            if (event == null) {
                break;
            }
            guard(event);
            count++;
        }
        return count;
    }

    private void park(long nanos) {
        mParked = true;
        if (mRing.isEmpty() && !mClosing) {
            LockSupport.parkNanos(this, nanos);
        }
        mParked = false;
    }

    private void guard(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            mFailed.inc();
            LOG.atSevere().withCause(e).log("%s: event failed", mThread.getName());
        }
    }
}
