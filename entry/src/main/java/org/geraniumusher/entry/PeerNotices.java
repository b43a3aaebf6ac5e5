package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.model.Address;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Sends notices to peers, whose answers do not matter, in order. Confined to the event loop.
 *
 * <p>Invariants: at most one call is in flight to each peer, so peers that answer slowly or not at
 * all cost a connection each, however many notices there are. At most {@link #MAX_IN_FLIGHT} calls
 * are in flight in all, so that notices do not fill the link of the daemon, which grants share.
 * Peers whose last call failed wait for the others and use at most half of these calls.
 */
final class PeerNotices {
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(700);

    /** Limit of the notices that wait for a peer; beyond it the oldest are dropped. */
    static final int MAX_UNSENT = 16;

    /** Limit of the calls in flight to all peers. */
    static final int MAX_IN_FLIGHT = 16;

    /** Time for which an encoded notice is sent to further peers. */
    private static final long MAX_ENCODED_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final HttpClient mClient;
    private final EventThread mThread;
    private final LongSupplier mClock;
    private final EntryMetrics mMetrics;
    private final Map<Address, Peer> mPeers = new HashMap<>();

    /** Peers with unsent notices and without a call in flight, in the order of their turns. */
    private final Set<Peer> mWaiting = new LinkedHashSet<>();

    /** The same for peers whose last call failed. */
    private final Set<Peer> mWaitingAfterFailure = new LinkedHashSet<>();

    private int mInFlight;
    private int mInFlightAfterFailure;

    /** The notices that wait for a peer, and what is known of it. */
    private static final class Peer {
        private final Address mAddress;
        private final Deque<Notice> mUnsent = new ArrayDeque<>();
        private boolean mInFlight;
        private boolean mFailed;

        Peer(Address address) {
            mAddress = address;
        }
    }

    /** A notice to all peers. */
    private final class Notice {
        /** What an unsent notice is superseded for, or empty if it never is. */
        private final Optional<String> mTopic;

        private final Supplier<HttpCall> mEncoder;
        private HttpCall mCall;
        private long mEncodedAt;

        Notice(Optional<String> topic, Supplier<HttpCall> encoder) {
            mTopic = topic;
            mEncoder = encoder;
        }

        boolean supersedes(Notice earlier) {
            return mTopic.isPresent() && mTopic.equals(earlier.mTopic);
        }

        /** Returns the call as of now or shortly before. */
        HttpCall call() {
            long now = mClock.getAsLong();
            if (mCall == null || now - mEncodedAt > MAX_ENCODED_AGE_NANOS) {
                mCall = mEncoder.get();
                mEncodedAt = now;
            }
            return mCall;
        }
    }

    PeerNotices(HttpClient client, EventThread thread, LongSupplier clock, EntryMetrics metrics) {
        mClient = checkNotNull(client);
        mThread = checkNotNull(thread);
        mClock = checkNotNull(clock);
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

    private void send(List<Address> addresses, Notice notice) {
        for (Address address : addresses) {
            Peer peer = mPeers.computeIfAbsent(address, Peer::new);
            enqueue(peer, notice);
            awaitTurn(peer);
        }
        callNext();
    }

    private void enqueue(Peer peer, Notice notice) {
        peer.mUnsent.removeIf(notice::supersedes);
        peer.mUnsent.add(notice);
        if (peer.mUnsent.size() > MAX_UNSENT) {
            peer.mUnsent.remove();
            mMetrics.onNoticeDropped();
        }
    }

    private void awaitTurn(Peer peer) {
        if (!peer.mInFlight && !peer.mUnsent.isEmpty()) {
            (peer.mFailed ? mWaitingAfterFailure : mWaiting).add(peer);
        }
    }

    private void callNext() {
        while (mInFlight < MAX_IN_FLIGHT) {
            Peer peer = takeNext();
            if (peer == null) {
                return;
            }
            call(peer);
        }
    }

    /** Takes the peer whose turn is next, or null if none may be called now. */
    private Peer takeNext() {
        Set<Peer> waiting = mWaiting;
        if (waiting.isEmpty() && mInFlightAfterFailure < MAX_IN_FLIGHT / 2) {
            waiting = mWaitingAfterFailure;
        }
        Peer next = waiting.stream().findFirst().orElse(null);
        waiting.remove(next);
        return next;
    }

    private void call(Peer peer) {
        boolean afterFailure = peer.mFailed;
        peer.mInFlight = true;
        mInFlight++;
        mInFlightAfterFailure += afterFailure ? 1 : 0;
        HttpCall call = Objects.requireNonNull(peer.mUnsent.poll()).call();
        mClient.call(peer.mAddress, call, CALL_TIMEOUT)
                .whenComplete(
                        (reply, error) ->
                                mThread.execute(() -> onEnd(peer, afterFailure, error != null)));
    }

    private void onEnd(Peer peer, boolean afterFailure, boolean failed) {
        peer.mInFlight = false;
        peer.mFailed = failed;
        mInFlight--;
        mInFlightAfterFailure -= afterFailure ? 1 : 0;
        awaitTurn(peer);
        callNext();
    }
}
