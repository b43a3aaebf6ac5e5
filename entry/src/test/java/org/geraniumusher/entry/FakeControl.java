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

    FakeControl(EventThread thread) {
        mThread = thread;
    }

    /** Makes a server refuse connections from now on. */
    void refuse(String id) {
        mRefusing.add(id);
    }

    private CompletableFuture<GrantResult> answer(ServerEntry server) {
        CompletableFuture<GrantResult> future = new CompletableFuture<>();
        GrantResult result =
                mRefusing.contains(server.id())
                        ? new GrantResult.ConnectionRefused()
                        : new GrantResult.Done(Optional.empty());
        mThread.schedule(() -> future.complete(result), 1, TimeUnit.MILLISECONDS);
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
