package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.keyrange.CoordinatorRecord;
import org.geraniumusher.model.Address;
import org.geraniumusher.operator.Json;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Tells the coordinator which servers of keyed services said in an answer that they are leaving, so
 * that it moves their keys although its own calls to them get no answer. Confined to the event
 * loop.
 *
 * <p>Invariant: an incarnation that this daemon still lists is reported until the present
 * coordinator has acknowledged it, so each coordinator learns it, whatever was lost with an earlier
 * one.
 */
final class LeavingReporter {
    /** Path at which the coordinator accepts the reports of its peers. */
    static final String PATH = "/leaving";

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(700);

    private final DaemonContext mContext;
    private final CoordinatorService mCoordinator;
    private final HttpClient mClient;

    /** The coordinator that acknowledged the report last, by incarnation ID. */
    private final Map<String, String> mAcknowledgedBy = new HashMap<>();

    private boolean mCallInFlight;

    /** The IDs of incarnations that are leaving, as sent between daemons. */
    record Report(List<String> incarnations) {
        Report {
            incarnations = ImmutableList.copyOf(incarnations);
        }
    }

    /** The IDs of a report that the coordinator doesn't list and has dropped. */
    record Acknowledgement(List<String> unknown) {
        Acknowledgement {
            unknown = ImmutableList.copyOf(unknown);
        }
    }

    LeavingReporter(DaemonContext context, CoordinatorService coordinator, HttpClient client) {
        mContext = checkNotNull(context);
        mCoordinator = checkNotNull(coordinator);
        mClient = checkNotNull(client);
    }

    /** Sends what the present coordinator has not acknowledged, unless a call is in flight. */
    void send() {
        ImmutableList<String> leaving = mContext.directory().saidLeaving();
        mAcknowledgedBy.keySet().retainAll(leaving);
        Optional<CoordinatorRecord> coordinator = mCoordinator.presentCoordinator();
        if (leaving.isEmpty()
                || mCallInFlight
                || mCoordinator.isActing()
                || coordinator.isEmpty()) {
            return;
        }
        String identity = coordinator.get().incarnationId();
        Report report =
                new Report(
                        leaving.stream()
                                .filter(id -> !identity.equals(mAcknowledgedBy.get(id)))
                                .toList());
        if (report.incarnations().isEmpty()) {
            return;
        }
        mCallInFlight = true;
        mClient.call(
                        Address.of(coordinator.get().peerAddress()),
                        HttpCall.of("POST", PATH, Json.write(report)),
                        CALL_TIMEOUT)
                .whenComplete(
                        (reply, error) ->
                                mContext.thread()
                                        .execute(() -> onReply(report, identity, reply, error)));
    }

    private void onReply(Report report, String identity, HttpReply reply, Throwable error) {
        mCallInFlight = false;
        if (error != null || reply.status() != 200) {
            mContext.log()
                    .write(
                            Part.PEER,
                            "Report of leaving servers to the coordinator failed",
                            "coordinator",
                            identity,
                            "servers",
                            report.incarnations(),
                            "cause",
                            error == null ? "status " + reply.status() : error.getMessage());
            return;
        }
        List<String> unknown = Json.read(reply.text(), Acknowledgement.class).unknown();
        for (String incarnationId : report.incarnations()) {
            if (!unknown.contains(incarnationId)) {
                mAcknowledgedBy.put(incarnationId, identity);
            }
        }
        if (unknown.isEmpty()) {
            // Another server may have become known during the call.
            send();
        }
    }

    /**
     * Replies to the report of a peer, with status 503 if this daemon is not the coordinator.
     *
     * @throws IllegalArgumentException if the report is invalid
     */
    HttpReply reply(HttpCall call) {
        if (!mCoordinator.isActing()) {
            return HttpReply.of(503, "{}");
        }
        ImmutableList.Builder<String> unknown = ImmutableList.builder();
        for (String incarnationId : Json.read(call.text(), Report.class).incarnations()) {
            if (!mContext.directory().onReportedLeaving(incarnationId)) {
                unknown.add(incarnationId);
                mContext.log()
                        .write(
                                Part.PEER,
                                "Report of a leaving server is dropped, it is not listed",
                                "server",
                                incarnationId);
            }
        }
        return HttpReply.of(200, Json.write(new Acknowledgement(unknown.build())));
    }
}
