package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.keyrange.HoldReport;
import org.geraniumusher.model.Address;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Asks a coordinator whose term has ended which holds it granted, and answers such calls of peers.
 * Confined to the event loop.
 */
final class HoldInquiry implements HoldReports.Inquiry {
    /** Path at which a daemon reports the holds of its last term; 204 if it has no report. */
    static final String PATH = "/holds";

    private static final String INCARNATION = "incarnation";
    private static final Duration CALL_TIMEOUT = Duration.ofNanos(HoldReports.MAX_WAIT_NANOS);

    private final DaemonContext mContext;
    private final CoordinatorService mCoordinator;
    private final HttpClient mClient;

    HoldInquiry(DaemonContext context, CoordinatorService coordinator, HttpClient client) {
        mContext = checkNotNull(context);
        mCoordinator = checkNotNull(coordinator);
        mClient = checkNotNull(client);
    }

    @Override
    public void ask(
            Address peer, long incarnation, Consumer<ImmutableMap<String, HoldReport>> onReports) {
        HttpCall call = HttpCall.of("GET", PATH + "?" + INCARNATION + "=" + incarnation);
        mClient.call(peer, call, CALL_TIMEOUT)
                .whenComplete(
                        (reply, error) ->
                                mContext.thread()
                                        .execute(
                                                () ->
                                                        onReports.accept(
                                                                decode(peer, reply, error))));
    }

    private ImmutableMap<String, HoldReport> decode(
            Address peer, HttpReply reply, Throwable error) {
        if (error != null || reply.status() != 200) {
            logResult(peer, error == null ? "status " + reply.status() : error.getMessage());
            return ImmutableMap.of();
        }
        try {
            ImmutableMap<String, HoldReport> reports =
                    HoldReportCodec.decode(
                            DeflatedJson.decode(reply), mContext.clock().getAsLong());
            int holds = reports.values().stream().mapToInt(r -> r.entries().size()).sum();
            logResult(peer, holds + " holds");
            return reports;
        } catch (IllegalArgumentException e) {
            logResult(peer, String.valueOf(e.getMessage()));
            return ImmutableMap.of();
        }
    }

    private void logResult(Address peer, String result) {
        mContext.log()
                .write(
                        Part.OWNERSHIP,
                        "Asked the former coordinator for its holds",
                        "peer",
                        peer,
                        "result",
                        result);
    }

    /** Replies with the reports of the run of this daemon that the call names, if it has any. */
    HttpReply reply(HttpCall call) {
        long incarnation = Long.parseLong(call.query(INCARNATION).orElse("-1"));
        Optional<ImmutableMap<String, HoldReport>> reports = mCoordinator.holdReports(incarnation);
        if (reports.isEmpty()) {
            return HttpReply.of(204, "");
        }
        ObjectNode holds = HoldReportCodec.encode(reports.get(), mContext.clock().getAsLong());
        return DeflatedJson.encode(HttpReply.of(200, holds.toString()));
    }
}
