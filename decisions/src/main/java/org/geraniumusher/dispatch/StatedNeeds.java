package org.geraniumusher.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.limit.LimitGate;

/**
 * What one incarnation of a server asked for in its answers, which holds also while its entry is
 * missing. Its parts are not thread-safe.
 *
 * @param pause the time for which it wants no requests
 * @param gate the requests per second that it takes
 */
public record StatedNeeds(ServerPause pause, LimitGate gate) {
    /** Rejects nulls. */
    public StatedNeeds {
        checkNotNull(pause);
        checkNotNull(gate);
    }

    /**
     * Returns the needs of a server that has not asked for anything.
     *
     * @param phase see {@link LimitGate}
     */
    public static StatedNeeds none(double phase) {
        return new StatedNeeds(new ServerPause(), new LimitGate(phase));
    }

    /** Returns whether the server wants fewer requests than it could get. */
    public boolean isActive(long nowNanos) {
        return pause.isActive(nowNanos) || gate.limit().isActive();
    }
}
