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

/**
 * Sends notices to peers, whose answers do not matter, in order. Confined to the event loop.
 *
 * <p>Invariant: at most one call is in flight to each peer, so peers that answer slowly or not at
 * all cost a connection each, however many notices there are.
 */
final class PeerNotices {
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(700);

    /** Limit of the notices that wait for a peer; beyond it the oldest are dropped. */
    private static final int MAX_UNSENT = 16;

    private final HttpClient mClient;
    private final EventThread mThread;
    private final EntryMetrics mMetrics;

    /** Notices that wait for the call in flight to a peer; no entry without such a call. */
    private final Map<Address, Deque<Notice>> mUnsentByPeer = new HashMap<>();

    /**
     * A call to a peer.
     *
     * @param topic what the notice is about; an empty one stands for nothing
     */
    private record Notice(String topic, HttpCall call) {
        boolean supersedes(Notice earlier) {
            return !topic.isEmpty() && topic.equals(earlier.topic);
        }
    }

    PeerNotices(HttpClient client, EventThread thread, EntryMetrics metrics) {
        mClient = checkNotNull(client);
        mThread = checkNotNull(thread);
        mMetrics = checkNotNull(metrics);
    }

    /** Sends a notice to each peer after those before. Failures are ignored. */
    void send(List<Address> peers, HttpCall call) {
        send(peers, "", call);
    }

    /**
     * Sends a notice to each peer after those before, in place of the ones with the same topic that
     * were not sent yet. Failures are ignored.
     */
    void sendLatest(List<Address> peers, String topic, HttpCall call) {
        send(peers, checkNotNull(topic), call);
    }

    private void send(List<Address> peers, String topic, HttpCall call) {
        Notice notice = new Notice(topic, checkNotNull(call));
        for (Address peer : peers) {
            Deque<Notice> unsent = mUnsentByPeer.get(peer);
            if (unsent == null) {
                mUnsentByPeer.put(peer, new ArrayDeque<>());
                call(peer, notice);
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

    private void call(Address peer, Notice notice) {
        mClient.call(peer, notice.call(), CALL_TIMEOUT)
                .whenComplete((reply, error) -> mThread.execute(() -> onEnd(peer)));
    }

    private void onEnd(Address peer) {
        Notice next = mUnsentByPeer.get(peer).poll();
        if (next == null) {
            mUnsentByPeer.remove(peer);
        } else {
            call(peer, next);
        }
    }
}
