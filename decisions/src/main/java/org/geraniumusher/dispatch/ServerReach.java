package org.geraniumusher.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashSet;
import java.util.Set;

/**
 * Tells whether this daemon reaches any backend server, by the answers to its own requests. Not
 * thread-safe.
 *
 * <p>Load pattern: a daemon is cut from all servers while callers and peers still reach it. Its
 * connections hang, are reset or are refused, one server after the other, and each request that is
 * tried costs its caller the time of a connect.
 *
 * <p>Invariants: one answer of any server ends the suspicion. A single server that fails begins
 * none, unless it is the only one. All times are in nanoseconds.
 */
public final class ServerReach {
    /** Time without an answer after which failures of several servers count. */
    static final long FAILING_NANOS = 300_000_000L;

    /** Time without an answer after which requests that several servers owe one count. */
    public static final long SILENT_NANOS = 1_000_000_000L;

    private static final int MIN_FAILING_SERVERS = 2;
    private static final int MIN_SILENT_SERVERS = 3;

    private final Set<String> mFailing = new HashSet<>();

    /** Servers that had not answered a request when its deadline passed, since the last answer. */
    private final Set<String> mUnanswering = new HashSet<>();

    private long mLastAnswerNanos;
    private boolean mStranded;

    /** Creates the state of a daemon that has begun at a time and has sent nothing. */
    public ServerReach(long nowNanos) {
        mLastAnswerNanos = nowNanos;
    }

    /**
     * Records an answer of a server; returns whether this daemon counted as stranded until then.
     */
    public boolean onAnswer(long nowNanos) {
        boolean wasStranded = mStranded;
        mLastAnswerNanos = nowNanos;
        mFailing.clear();
        mUnanswering.clear();
        mStranded = false;
        return wasStranded;
    }

    /** Records that a connection to a server could not be opened, or broke without an answer. */
    public void onFailure(String incarnationId) {
        mFailing.add(checkNotNull(incarnationId));
    }

    /** Records that the deadline of a request passed before its server answered. */
    public void onDeadline(String incarnationId) {
        mUnanswering.add(checkNotNull(incarnationId));
    }

    /**
     * Decides anew whether the daemon is stranded; returns whether it is so from now on.
     *
     * @param servers number of servers that are listed
     * @param silentServers number of servers that have owed an answer for {@link #SILENT_NANOS}
     */
    public boolean update(int servers, int silentServers, long nowNanos) {
        long withoutAnswer = nowNanos - mLastAnswerNanos;
        boolean failing =
                withoutAnswer >= FAILING_NANOS
                        && !mFailing.isEmpty()
                        && mFailing.size() >= Math.min(MIN_FAILING_SERVERS, servers);
        boolean silent =
                withoutAnswer >= SILENT_NANOS
                        && silentServers + mUnanswering.size() >= MIN_SILENT_SERVERS;
        boolean begins = !mStranded && (failing || silent);
        mStranded |= begins;
        return begins;
    }

    /** Returns whether this daemon reaches no server, as far as its own requests show. */
    public boolean isStranded() {
        return mStranded;
    }

    /** Returns the number of servers that have failed since the last answer. */
    public int failingServers() {
        return mFailing.size();
    }

    /** Returns when a server answered last, or when this daemon began. */
    public long lastAnswerNanos() {
        return mLastAnswerNanos;
    }
}
