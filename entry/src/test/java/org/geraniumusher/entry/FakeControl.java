package org.geraniumusher.entry;

import org.geraniumusher.keyrange.KeyRange;
import org.geraniumusher.traffic.ServerEntry;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Answers for servers after a millisecond; some refuse connections. */
final class FakeControl implements ServerControl {
    private final EventThread mThread;
    private final Set<String> mRefusing = new HashSet<>();
    private final Set<String> mSilent = new HashSet<>();
    private int mCalls;

    FakeControl(EventThread thread) {
        mThread = thread;
    }

    /** Makes calls to a server get no answer from now on. */
    void silence(String id) {
        mSilent.add(id);
    }

    /** Returns the number of calls so far. */
    int calls() {
        return mCalls;
    }

    /** Makes a server refuse connections from now on. */
    void refuse(String id) {
        mRefusing.add(id);
    }

    private CompletableFuture<GrantResult> answer(ServerEntry server) {
        mCalls++;
        CompletableFuture<GrantResult> future = new CompletableFuture<>();
        GrantResult result = new GrantResult.Done(Optional.empty());
        if (mRefusing.contains(server.id())) {
            result = new GrantResult.ConnectionRefused();
        } else if (mSilent.contains(server.id())) {
            result = new GrantResult.NoAnswer("silent");
        }
        GrantResult given = result;
        mThread.schedule(() -> future.complete(given), 1, TimeUnit.MILLISECONDS);
        return future;
    }

    @Override
    public CompletableFuture<GrantResult> grant(
            ServerEntry server,
            KeyRange range,
            long fence,
            long holdNanos,
            Optional<String> handover) {
        return answer(server);
    }

    @Override
    public CompletableFuture<GrantResult> release(ServerEntry server, KeyRange range, long fence) {
        return answer(server);
    }
}
