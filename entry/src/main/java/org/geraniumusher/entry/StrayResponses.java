package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.entry.DecisionLog.Part;

/**
 * Counts and logs what a backend server or a peer sends to no request. Confined to the event loop.
 */
final class StrayResponses implements ConnectionPool.Listener {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final DecisionLog mLog;
    private final EntryMetrics mMetrics;
    private final Sender mSender;
    private final String mName;

    /** What the other end of a connection is. */
    enum Sender {
        SERVER(Part.SERVER, "server"),
        PEER(Part.PEER, "peer");

        private final Part mPart;
        private final String mField;

        Sender(Part part, String field) {
            mPart = part;
            mField = field;
        }
    }

    /**
     * Creates a listener for the connections to one server or peer.
     *
     * @param name incarnation of the server, or name of the peer
     */
    StrayResponses(DecisionLog log, EntryMetrics metrics, Sender sender, String name) {
        mLog = checkNotNull(log);
        mMetrics = checkNotNull(metrics);
        mSender = checkNotNull(sender);
        mName = checkNotNull(name);
    }

    @Override
    public void onUnsolicitedBytes(UpstreamConnection connection) {
        mMetrics.onUnsolicitedBytes();
        mLog.write(
                mSender.mPart,
                "Closed a connection on which bytes arrived for no request",
                mSender.mField,
                mName,
                "connection",
                connection.describe());
    }

    @Override
    public void onSkippedResponse(SkippedResponse response) {
        mMetrics.onSkippedResponse();
        mLog.write(
                mSender.mPart,
                "Skipped a response without the id of the request",
                mSender.mField,
                mName,
                "id",
                response.requestId(),
                "response_id",
                response.responseId(),
                "status",
                response.status(),
                "connection",
                response.connection(),
                "carried",
                response.isCarried(),
                "request_age_ms",
                response.requestAgeNanos() / NANOS_PER_MILLI,
                "since_response_ms",
                response.sinceResponseNanos() / NANOS_PER_MILLI);
    }
}
