package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.primitives.Ints;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;

import org.geraniumusher.entry.DecisionLog.Part;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Measures the passes of an event loop: the time from the return of one poll of its sockets to the
 * start of the next. What arrives meanwhile is not seen before the next poll, so a long pass delays
 * requests, closes of callers and changes of the store alike. Confined to the event loop, except
 * for {@link #stalls} and {@link #longestPassMillis}, which any thread may call.
 */
final class EventLoopMonitor {
    /** Shortest pass that is logged and counted, as callers notice a delay of this size. */
    static final long STALL_NANOS = 250_000_000L;

    private final LongSupplier mClock;
    private final DecisionLog mLog;
    private boolean mInPass;
    private long mPassStartNanos;
    private volatile int mStalls;
    private volatile long mLongestPassNanos;

    EventLoopMonitor(LongSupplier clock, DecisionLog log) {
        mClock = checkNotNull(clock);
        mLog = checkNotNull(log);
    }

    /** Returns a factory of the handlers of {@code factory} that reports to this monitor. */
    IoHandlerFactory monitoring(IoHandlerFactory factory) {
        checkNotNull(factory);
        return executor -> new MonitoredHandler(factory.newHandler(executor));
    }

    /** Returns the number of passes that took {@link #STALL_NANOS} or longer. */
    int stalls() {
        return mStalls;
    }

    /** Returns the length of the longest pass in milliseconds. */
    int longestPassMillis() {
        return Ints.saturatedCast(TimeUnit.NANOSECONDS.toMillis(mLongestPassNanos));
    }

    /** Records that a poll has returned. */
    void onPollReturned() {
        mInPass = true;
        mPassStartNanos = mClock.getAsLong();
    }

    /** Records that the next poll is about to start. */
    void onPollStarts() {
        if (!mInPass) {
            return;
        }
        mInPass = false;
        long passNanos = mClock.getAsLong() - mPassStartNanos;
        if (passNanos > mLongestPassNanos) {
            mLongestPassNanos = passNanos;
        }
        if (passNanos >= STALL_NANOS) {
            mStalls++;
            mLog.write(
                    Part.DAEMON,
                    "Event loop did not poll its sockets",
                    "for_ms",
                    TimeUnit.NANOSECONDS.toMillis(passNanos));
        }
    }

    /** Delegates to another handler and reports when its polls start and return. */
    private final class MonitoredHandler implements IoHandler {
        private final IoHandler mDelegate;
        private final MonitoredContext mContext = new MonitoredContext();

        MonitoredHandler(IoHandler delegate) {
            mDelegate = delegate;
        }

        @Override
        public void initialize() {
            mDelegate.initialize();
        }

        @Override
        public int run(IoHandlerContext context) {
            onPollStarts();
            mContext.mDelegate = context;
            return mDelegate.run(mContext);
        }

        @Override
        public void prepareToDestroy() {
            mDelegate.prepareToDestroy();
        }

        @Override
        public void destroy() {
            mDelegate.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return mDelegate.register(handle);
        }

        @Override
        public void wakeup() {
            mDelegate.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> handleType) {
            return mDelegate.isCompatible(handleType);
        }
    }

    /** Delegates to the context of the event loop. */
    private final class MonitoredContext implements IoHandlerContext {
        private IoHandlerContext mDelegate;

        @Override
        public boolean canBlock() {
            return mDelegate.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return mDelegate.delayNanos(currentTimeNanos);
        }

        @Override
        public long deadlineNanos() {
            return mDelegate.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            mDelegate.reportActiveIoTime(activeNanos);
        }

        // A handler asks this after each poll, before it processes what the poll found.
        @Override
        public boolean shouldReportActiveIoTime() {
            onPollReturned();
            return mDelegate.shouldReportActiveIoTime();
        }
    }
}
