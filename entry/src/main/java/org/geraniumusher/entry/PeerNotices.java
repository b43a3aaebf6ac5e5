package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.model.Address;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Sends notices to peers, whose answers do not matter, in order. Confined to the event loop.
 *
 * <p>Invariant: at most one call is in flight to each peer, so peers that answer slowly or not at
 * all cost a connection each, however many notices there are.
 */
final class PeerNotices {
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(700);

    /** Limit of the notices that wait for a peer; beyond it the oldest are dropped. */
    static final int MAX_UNSENT = 16;

    private final HttpClient mClient;
    private final EventThread mThread;
    private final EntryMetrics mMetrics;

    /** Notices that wait for the call in flight to a peer; no entry without such a call. */
    private final Map<Address, Deque<Notice>> mUnsentByPeer = new HashMap<>();

    /**
     * A notice to a peer.
     *
     * @param topic what an unsent notice is superseded for, or empty if it never is
     * @param call returns the call as it is to be sent at that time
     */
    private record Notice(Optional<String> topic, Supplier<HttpCall> call) {
        boolean supersedes(Notice earlier) {
            return topic.isPresent() && topic.equals(earlier.topic);
        }
    }

    PeerNotices(HttpClient client, EventThread thread, EntryMetrics metrics) {
        mClient = checkNotNull(client);
        mThread = checkNotNull(thread);
        mMetrics = checkNotNull(metrics);
    }

    /** Sends a notice to each peer after those before. Failures are ignored. */
    void send(List<Address> peers, HttpCall call) {
        checkNotNull(call);
        send(peers, new Notice(Optional.empty(), () -> call));
    }

    /**
     * Sends a notice to each peer after those before, in place of the ones with the same topic that
     * were not sent yet. Failures are ignored.
     *
     * @param call returns the call as of the time at which it is called
     */
    void sendLatest(List<Address> peers, String topic, Supplier<HttpCall> call) {
        send(peers, new Notice(Optional.of(topic), checkNotNull(call)));
    }

    private void send(List<Address> peers, Notice notice) {
        // Encoded once for all peers without a call in flight.
        HttpCall present = notice.call().get();
        for (Address peer : peers) {
            Deque<Notice> unsent = mUnsentByPeer.get(peer);
            if (unsent == null) {
                mUnsentByPeer.put(peer, new ArrayDeque<>());
                call(peer, present);
            } else {
                enqueue(unsent, notice);
            }
        }
    }

    private void enqueue(Deque<Notice> unsent, Notice notice) {
        unsent.removeIf(notice::supersedes);
        unsent.add(notice);
        if (unsent.size() > MAX_UNSENT) {
            unsent.remove();
            mMetrics.onNoticeDropped();
        }
    }

    private void call(Address peer, HttpCall call) {
        mClient.call(peer, call, CALL_TIMEOUT)
                .whenComplete((reply, error) -> mThread.execute(() -> onEnd(peer)));
    }

    private void onEnd(Address peer) {
        Notice next = mUnsentByPeer.get(peer).poll();
        if (next == null) {
            mUnsentByPeer.remove(peer);
        } else {
            call(peer, next.call().get());
        }
    }
}
