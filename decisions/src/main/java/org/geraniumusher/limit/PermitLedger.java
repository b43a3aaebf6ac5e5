package org.geraniumusher.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Gives the permits for all limited servers to the daemons of the fleet, during one term of the
 * coordinator. Not thread-safe.
 *
 * <p>Load pattern: many daemons, each with few requests for a server that takes about one in a
 * second from all of them; a fixed share for each would be idle at some and, with a burst of its
 * own at each, too much in all.
 *
 * <p>Invariants: no permit is given before those of a former coordinator have ended. At most {@link
 * #MAX_SERVERS} are kept; the one that was asked for longest ago goes first, and starts as in a new
 * term when it is asked for again. All times are in nanoseconds.
 */
public final class PermitLedger {
    static final int MAX_SERVERS = 8_192;

    /** Time for which a daemon counts after it has asked for a server. */
    static final long ASKED_RECENTLY_NANOS = 5_000_000_000L;

    private final Map<String, Server> mServers = new LinkedHashMap<>(16, 0.75f, true);
    private final long mTermBeganNanos;
    private long mForgottenAtNanos;

    /** The permits of one server. */
    private static final class Server {
        private final PermitSchedule mSchedule;
        private final Map<String, Long> mAskedAtNanos = new HashMap<>();

        Server(long firstNanos) {
            mSchedule = new PermitSchedule(firstNanos);
        }
    }

    /**
     * The answer to one daemon.
     *
     * @param askers number of daemons that have asked for the server recently, this one included
     */
    public record Grant(PermitSchedule.Booking booking, int askers) {}

    /** Creates a ledger for a term that begins now. */
    public PermitLedger(long nowNanos) {
        mTermBeganNanos = nowNanos;
        mForgottenAtNanos = nowNanos;
    }

    /**
     * Gives permits for a server to a daemon.
     *
     * @see PermitSchedule#book
     */
    public Grant book(
            String server,
            String daemon,
            double requestsPerSecond,
            int wanted,
            long waitNanos,
            int rank,
            long nowNanos) {
        Server known = mServers.computeIfAbsent(checkNotNull(server), s -> newServer());
        if (mServers.size() > MAX_SERVERS) {
            mServers.remove(mServers.keySet().iterator().next());
            mForgottenAtNanos = nowNanos;
        }
        known.mAskedAtNanos.put(checkNotNull(daemon), nowNanos);
        known.mAskedAtNanos.values().removeIf(at -> nowNanos - at > ASKED_RECENTLY_NANOS);
        return new Grant(
                known.mSchedule.book(requestsPerSecond, wanted, waitNanos, rank, nowNanos),
                known.mAskedAtNanos.size());
    }

    private Server newServer() {
        long since = Math.max(mTermBeganNanos, mForgottenAtNanos);
        return new Server(since + PermitSchedule.TAKEOVER_NANOS);
    }
}
