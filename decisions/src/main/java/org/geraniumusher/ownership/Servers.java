package org.geraniumusher.ownership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;

import java.util.Collection;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

/**
 * Keeps what one member knows of the backend servers of its service: role, last answer, and the
 * last grant that each acknowledged. Not thread-safe.
 */
final class Servers {
    private final Map<String, Server> mServers = new TreeMap<>();

    /** Takes over the configured roles; a server that is no longer configured does not serve. */
    void setRoles(long nowNanos, Collection<ServerRole> roles) {
        mServers.values().forEach(Server::clearRole);
        for (ServerRole role : roles) {
            Server server = mServers.computeIfAbsent(role.name(), n -> new Server(nowNanos));
            server.mServing = role.serving();
            server.mFenced = role.fenced();
            server.mConfigured = true;
        }
    }

    /** Watches the servers that a state names, and forgets those that nothing names. */
    void watch(long nowNanos, Set<String> named) {
        named.forEach(n -> mServers.computeIfAbsent(n, name -> new Server(nowNanos)));
        mServers.entrySet().removeIf(e -> !e.getValue().mConfigured && !named.contains(e.getKey()));
    }

    /** Gives every server the benefit of the doubt, after a pause of this daemon. */
    void restartWatch(long nowNanos) {
        mServers.values().forEach(s -> s.mHeardNanos = nowNanos);
    }

    Server get(String name) {
        return mServers.get(name);
    }

    boolean isKnown(String name) {
        return mServers.containsKey(name);
    }

    /** Reports whether a server checks grants; one that is not known counts as not doing so. */
    boolean isFenced(String name) {
        return isKnown(name) && get(name).isFenced();
    }

    /** Reports whether a server has been silent for so long that it counts as lost. */
    boolean isLost(long nowNanos, String name) {
        Server server = mServers.get(name);
        return server != null && nowNanos - server.mHeardNanos >= OwnershipTimes.SILENCE_NANOS;
    }

    /** Returns the servers that count as lost. */
    ImmutableSet<String> lost(long nowNanos) {
        return mServers.keySet().stream()
                .filter(s -> isLost(nowNanos, s))
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns the servers that may receive slices. */
    ImmutableSortedSet<String> receivers(long nowNanos) {
        ImmutableSortedSet.Builder<String> names = ImmutableSortedSet.naturalOrder();
        for (Map.Entry<String, Server> entry : mServers.entrySet()) {
            if (entry.getValue().mServing && !isLost(nowNanos, entry.getKey())) {
                names.add(entry.getKey());
            }
        }
        return names.build();
    }

    /** Returns the named servers that are due for a poll, and counts them as polled. */
    ImmutableList<String> takeDue(long nowNanos) {
        ImmutableList.Builder<String> due = ImmutableList.builder();
        for (Map.Entry<String, Server> entry : mServers.entrySet()) {
            if (nowNanos - entry.getValue().mNextPollNanos >= 0) {
                entry.getValue().poll(nowNanos);
                due.add(entry.getKey());
            }
        }
        return due.build();
    }

    /** Makes a poll due at once. */
    void hurry(long nowNanos, String name) {
        Server server = mServers.get(name);
        if (server != null) {
            server.mNextPollNanos = nowNanos;
        }
    }

    /** Holds what is known of one server. */
    static final class Server {
        /** Bounds the grants whose acknowledgement may still arrive. */
        private static final int MAX_READINGS = 32;

        private boolean mConfigured;
        private boolean mServing;

        /** A server of unknown role counts as unfenced, which is the safe assumption. */
        private boolean mFenced;

        private long mHeardNanos;
        private long mNextPollNanos;
        private long mIncarnation = Long.MIN_VALUE;
        private final NavigableMap<Long, Long> mReceivedByReading = new TreeMap<>();
        private long mAckVersion;
        private long mAckBasisNanos = Long.MIN_VALUE;

        Server(long nowNanos) {
            mHeardNanos = nowNanos;
            mNextPollNanos = nowNanos;
        }

        boolean isFenced() {
            return mFenced;
        }

        /** Keeps whether the server is fenced: its grants may outlive its configuration. */
        private void clearRole() {
            mServing = false;
            mConfigured = false;
        }

        private void poll(long nowNanos) {
            mNextPollNanos = nowNanos + OwnershipTimes.RENEWAL_NANOS;
        }

        /** Records an answer to a poll. Returns false for one that was overtaken by a later one. */
        boolean onStatus(long nowNanos, long incarnation, long readingNanos) {
            boolean restarted = incarnation > mIncarnation;
            boolean later =
                    incarnation == mIncarnation && readingNanos - mReceivedByReading.lastKey() > 0;
            if (!restarted && !later) {
                return false;
            }
            if (restarted) {
                mReceivedByReading.clear();
                mIncarnation = incarnation;
            }
            mHeardNanos = nowNanos;
            mReceivedByReading.put(readingNanos, nowNanos);
            if (mReceivedByReading.size() > MAX_READINGS) {
                mReceivedByReading.pollFirstEntry();
            }
            return true;
        }

        /** Records an acknowledgement of a grant that was based on a recorded answer. */
        void onGrantAck(GrantAck ack) {
            Long received = mReceivedByReading.get(ack.readingNanos());
            if (ack.incarnation() == mIncarnation && received != null) {
                mAckVersion = Math.max(mAckVersion, ack.version());
                mAckBasisNanos = Math.max(mAckBasisNanos, received);
            }
        }

        /** Reports whether the server has accepted a grant of {@code version} or a later one. */
        boolean hasAccepted(long version) {
            return mAckVersion >= version;
        }

        /** Reports whether it has accepted such a grant that was sent after {@code sinceNanos}. */
        boolean hasAcceptedSince(long version, long sinceNanos) {
            return hasAccepted(version) && mAckBasisNanos > sinceNanos;
        }
    }
}
