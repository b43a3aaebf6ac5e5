package org.geraniumusher.entry;

import org.geraniumusher.keyrange.KeyRange;
import org.geraniumusher.traffic.ServerEntry;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Answers calls to servers after a millisecond, with success unless a test says otherwise. */
final class FakeServerControl implements ServerControl {
    private final EventThread mThread;
    private final Set<String> mRefusingIds = new HashSet<>();
    private final Set<String> mSilentIds = new HashSet<>();
    private final Set<String> mReplacedIds = new HashSet<>();
    private int mCallCount;

    FakeServerControl(EventThread thread) {
        mThread = thread;
    }

    /** Leaves calls to a server without an answer from now on. */
    void stopAnswering(String serverId) {
        mSilentIds.add(serverId);
    }

    /** Makes another server answer the calls to a server from now on. */
    void replaceServer(String serverId) {
        mReplacedIds.add(serverId);
    }

    /** Returns the number of calls so far. */
    int callCount() {
        return mCallCount;
    }

    /** Makes a server refuse connections from now on. */
    void refuseConnections(String serverId) {
        mRefusingIds.add(serverId);
    }

    private CompletableFuture<GrantResult> answer(ServerEntry server) {
        mCallCount++;
        CompletableFuture<GrantResult> future = new CompletableFuture<>();
        GrantResult result = new GrantResult.Done(Optional.empty(), false);
        if (mReplacedIds.contains(server.id())) {
            result = new GrantResult.OtherServer();
        } else if (mRefusingIds.contains(server.id())) {
            result = new GrantResult.ConnectionRefused();
        } else if (mSilentIds.contains(server.id())) {
            result = new GrantResult.NoAnswer("no answer");
        }
        GrantResult answer = result;
        mThread.schedule(() -> future.complete(answer), 1, TimeUnit.MILLISECONDS);
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
