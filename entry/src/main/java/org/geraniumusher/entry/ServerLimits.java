package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ascii;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.limit.NamedLimit;

import java.util.List;

/**
 * Applies the limits that servers name in their answers or that peers know of, and counts and logs
 * their changes. Confined to the event loop.
 *
 * <p>Invariant: each begin, change and end of a limit at this daemon leaves a line.
 */
final class ServerLimits {
    private static final int MAX_LOGGED_CHARS = 200;

    private final DecisionLog mLog;
    private final EntryMetrics mMetrics;
    private Listener mListener = Listener.NONE;

    /** Is notified of what servers say of their limits in answers to this daemon. */
    interface Listener {
        /** A listener that does nothing. */
        Listener NONE =
                new Listener() {
                    @Override
                    public void onBegun() {}

                    @Override
                    public void onUnlimitedAnswer(Upstream upstream, long sentAtNanos) {}
                };

        /** Called when this daemon learns of a limit or of its change. */
        void onBegun();

        /**
         * Called for each answer that names no limit.
         *
         * @param sentAtNanos when its request was sent
         */
        void onUnlimitedAnswer(Upstream upstream, long sentAtNanos);
    }

    ServerLimits(DecisionLog log, EntryMetrics metrics) {
        mLog = checkNotNull(log);
        mMetrics = checkNotNull(metrics);
    }

    void setListener(Listener listener) {
        mListener = checkNotNull(listener);
    }

    /**
     * Processes an answer of a server.
     *
     * @param values values of the field that names its limit
     * @param sentAtNanos when the request was sent
     */
    void onAnswer(Upstream upstream, List<String> values, long sentAtNanos, long nowNanos) {
        NamedLimit.Change change =
                upstream.load().gate().limit().onAnswer(values, sentAtNanos, nowNanos);
        if (change == NamedLimit.Change.IGNORED_FIRST) {
            mLog.write(
                    Part.SERVER,
                    "Limit of a server is no number and is ignored",
                    "server",
                    upstream.entry().incarnationId(),
                    "values",
                    Ascii.truncate(String.join("; ", values), MAX_LOGGED_CHARS, "..."));
        }
        onChange(upstream, change, "answer");
        if (values.isEmpty()) {
            mListener.onUnlimitedAnswer(upstream, sentAtNanos);
        }
    }

    /** Processes that a peer knows of a limit, which was named at a time or before. */
    void onNamed(Upstream upstream, double requestsPerSecond, long atNanos) {
        onChange(
                upstream,
                upstream.load().gate().limit().onNamed(requestsPerSecond, atNanos),
                "peer");
    }

    /** Processes that a peer knows of the end of a limit, at a time or later. */
    void onEnded(Upstream upstream, long atNanos) {
        onChange(upstream, upstream.load().gate().limit().onEnded(atNanos), "peer");
    }

    private void onChange(Upstream upstream, NamedLimit.Change change, String source) {
        switch (change) {
            case BEGUN -> {
                mMetrics.onLimitBegun();
                log("Server has a limit", upstream, source);
                mListener.onBegun();
            }
            case CHANGED -> {
                log("Limit of a server has changed", upstream, source);
                mListener.onBegun();
            }
            case ENDED -> log("Limit of a server has ended", upstream, source);
            case IGNORED_FIRST, IGNORED_AGAIN -> mMetrics.onLimitIgnored();
            default -> {}
        }
    }

    private void log(String event, Upstream upstream, String source) {
        mLog.write(
                Part.SERVER,
                event,
                "server",
                upstream.entry().incarnationId(),
                "requests_per_s",
                upstream.load().gate().limit().requestsPerSecond(),
                "source",
                source);
    }
}
