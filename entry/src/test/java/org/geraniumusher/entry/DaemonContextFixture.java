package org.geraniumusher.entry;

import io.netty.channel.EventLoopGroup;

import org.geraniumusher.http.HttpClient;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Random;

/** Creates daemon contexts with a fake store, fake servers and a manual clock. Not thread-safe. */
final class DaemonContextFixture implements AutoCloseable {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final FakeEventThread mThread = new FakeEventThread();
    private final FakeServerControl mControl = new FakeServerControl(mThread);
    private final ByteArrayOutputStream mLogBytes = new ByteArrayOutputStream();
    private final DecisionLog mLog =
            DecisionLog.start(
                    mThread::now,
                    () -> 0,
                    new PrintStream(mLogBytes, true, StandardCharsets.UTF_8));
    private final FakeStore mStore = new FakeStore(mLog);
    private long mWallLeadMillis;

    /** Suspends the machine of the daemons; the time of the thread stands still meanwhile. */
    void suspend(long nanos) {
        mWallLeadMillis += nanos / NANOS_PER_MILLI;
    }

    FakeEventThread thread() {
        return mThread;
    }

    FakeStore store() {
        return mStore;
    }

    FakeServerControl control() {
        return mControl;
    }

    /** Ends the log and returns its lines. */
    String closeAndReadLog() {
        close();
        return mLogBytes.toString(StandardCharsets.UTF_8);
    }

    /** Returns the context of a daemon that has not read the store yet. */
    DaemonContext createContext(String name) {
        EntrySettings settings =
                EntrySettings.builder()
                        .setIdentity(name, "z")
                        .setListenAddresses(
                                FakeWireFormat.ADDRESS,
                                FakeWireFormat.ADDRESS,
                                FakeWireFormat.ADDRESS)
                        .build();
        return new DaemonContext(
                settings,
                1,
                new Directory(mStore, new FakeWireFormat(), mThread, mThread::now, mLog),
                mStore,
                mControl,
                mThread,
                SuspensionClock.create(
                        mThread::now,
                        () -> mWallLeadMillis + mThread.now() / NANOS_PER_MILLI,
                        mLog),
                mLog,
                new EntryMetrics("entry-1", 1, mThread::now, () -> 0));
    }

    /** Returns the upstreams of a daemon, which open no connections. */
    UpstreamSet createUpstreams(DaemonContext context) {
        return new UpstreamSet(
                context.directory(),
                null,
                mThread::now,
                context.log(),
                context.metrics(),
                new FakeWireFormat().headers(),
                new Random(1));
    }

    /** Returns a store that forwards to the fake store until it knows of feeders. */
    RelayedStore createRelayedStore(DaemonContext context, EventLoopGroup group) {
        return new RelayedStore(
                mStore,
                context.settings(),
                new FakeWireFormat(),
                HttpClient.create(group),
                mThread,
                context.clock(),
                context.log(),
                context.metrics());
    }

    /** Returns a crash monitor whose probes get no answer. */
    CrashMonitor createCrashMonitor(DaemonContext context) {
        CoordinatorService coordinator = new CoordinatorService(context);
        QuarantineService quarantines = new QuarantineService(context, () -> 0, coordinator);
        return new CrashMonitor(
                context,
                new FakeWireFormat().headers(),
                () -> 0,
                (address, onResult) -> {},
                new CrashReporter(context, coordinator, quarantines, null),
                new ProbationTrials(context, coordinator, quarantines, null));
    }

    @Override
    public void close() {
        mLog.close();
    }
}
