package org.geraniumusher.entry;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Creates daemon contexts with a fake store, fake servers and a manual clock. Not thread-safe. */
final class DaemonContextFixture implements AutoCloseable {
    private final FakeEventThread mThread = new FakeEventThread();
    private final FakeServerControl mControl = new FakeServerControl(mThread);
    private final ByteArrayOutputStream mLogBytes = new ByteArrayOutputStream();
    private final DecisionLog mLog =
            DecisionLog.start(
                    mThread::now,
                    () -> 0,
                    new PrintStream(mLogBytes, true, StandardCharsets.UTF_8));
    private final FakeStore mStore = new FakeStore(mLog);

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
                mThread::now,
                mLog,
                new EntryMetrics("entry-1", 1, mThread::now, () -> 0));
    }

    @Override
    public void close() {
        mLog.close();
    }
}
