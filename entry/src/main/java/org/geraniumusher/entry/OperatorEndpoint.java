package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.http.Responder;
import org.geraniumusher.keyrange.Assignment;
import org.geraniumusher.keyrange.CoordinatorRecord;
import org.geraniumusher.keyrange.KeyRange;
import org.geraniumusher.keyrange.RangeTable;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.operator.JsonReply;
import org.geraniumusher.operator.MetricText;
import org.geraniumusher.operator.QueryParameters;
import org.geraniumusher.operator.Replies;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.LongSupplier;

/** Answers the command-line tool and the metrics collector. Confined to the event loop. */
final class OperatorEndpoint {
    private final DaemonContext mContext;
    private final CoordinatorService mCoordinator;
    private final PeerService mPeerService;
    private final FleetStatus mFleet;
    private final DrainService mDrainService;
    private final QuarantineEndpoint mQuarantineEndpoint;

    /**
     * Creates the endpoint.
     *
     * @param wallClock milliseconds since 1970
     */
    OperatorEndpoint(
            DaemonContext context,
            CoordinatorService coordinator,
            PeerService peers,
            FleetStatus fleet,
            LongSupplier wallClock) {
        mContext = checkNotNull(context);
        mCoordinator = checkNotNull(coordinator);
        mPeerService = checkNotNull(peers);
        mFleet = checkNotNull(fleet);
        mDrainService = new DrainService(context);
        mQuarantineEndpoint = new QuarantineEndpoint(context, wallClock);
        mQuarantineEndpoint.registerGauges(context.metrics());
    }

    /** Replies to a call on the operator port; a call that fails gets status 500. */
    void answer(HttpCall call, Responder responder) {
        reply(call)
                .whenComplete(
                        (reply, error) -> {
                            if (error != null) {
                                mContext.log()
                                        .write(
                                                Part.DAEMON,
                                                "Operator request failed",
                                                "path",
                                                call.path(),
                                                "cause",
                                                error);
                            }
                            responder.reply(error == null ? reply : HttpReply.of(500, ""));
                        });
    }

    private CompletableFuture<HttpReply> reply(HttpCall call) {
        try {
            return switch (call.path()) {
                case "/metrics" -> completed(HttpReply.of(200, metrics()));
                case "/admin/owner" -> completed(tableReply(call, table -> ownerBody(call, table)));
                case "/admin/assignments" ->
                        completed(tableReply(call, table -> assignmentsBody(call, table)));
                case "/admin/daemons" ->
                        mFleet.members(
                                        mPeerService.peerAddresses(),
                                        call.query(FleetStatus.AGES).isPresent())
                                .thenApply(all -> new Replies.Daemons(daemonName(), all))
                                .thenApply(JsonReply::ok);
                case "/admin/drains" -> drainReply(call);
                case "/admin/quarantines" -> quarantineReply(call);
                case "/admin/burn" ->
                        mFleet.burnReport(mPeerService.peerAddresses()).thenApply(JsonReply::ok);
                default -> completed(error(ResultCode.NOT_FOUND, "no such path: " + call.path()));
            };
        } catch (IllegalArgumentException e) {
            return completed(error(ResultCode.BAD_REQUEST, e.getMessage()));
        }
    }

    private CompletableFuture<HttpReply> drainReply(HttpCall call) {
        return switch (call.method()) {
            case "GET" -> completed(mDrainService.list());
            case "POST" -> mDrainService.start(call);
            case "DELETE" -> mDrainService.end(call);
            default -> completed(badMethod(call));
        };
    }

    private CompletableFuture<HttpReply> quarantineReply(HttpCall call) {
        return switch (call.method()) {
            case "GET" -> completed(mQuarantineEndpoint.list());
            case "DELETE" -> mQuarantineEndpoint.release(call);
            default -> completed(badMethod(call));
        };
    }

    private static HttpReply badMethod(HttpCall call) {
        return error(ResultCode.BAD_REQUEST, "bad method: " + call.method());
    }

    private String daemonName() {
        return mContext.settings().name();
    }

    private String metrics() {
        return MetricText.of(mContext.metrics().registry());
    }

    /** Builds a reply from the key range table of the service that the call names. */
    private HttpReply tableReply(HttpCall call, Function<RangeTable, Object> toBody) {
        String service = QueryParameters.required(call, "service");
        Optional<RangeTable> table = mContext.directory().table(service);
        boolean configured =
                mContext.directory()
                        .configuration()
                        .map(c -> c.services().containsKey(service))
                        .orElse(false);
        if (table.isPresent()) {
            return JsonReply.ok(toBody.apply(table.get()));
        }
        return configured
                ? error(ResultCode.NO_OWNER, "service " + service + " has no table of key ranges")
                : error(ResultCode.NOT_FOUND, "no service " + service);
    }

    private static Replies.Owner ownerBody(HttpCall call, RangeTable table) {
        long key = QueryParameters.requiredNumber(call, "key");
        if (key > KeyRange.MAX_KEY) {
            throw new IllegalArgumentException(
                    "bad key: " + key + ", keys are 0 to " + KeyRange.MAX_KEY);
        }
        String keyText = String.valueOf(key);
        return new Replies.Owner(
                QueryParameters.required(call, "service"),
                keyText,
                table.version().revision(),
                toRangeRow(table.find((int) key)));
    }

    private Replies.Assignments assignmentsBody(HttpCall call, RangeTable table) {
        Optional<CoordinatorRecord> coordinator = mCoordinator.coordinator();
        return new Replies.Assignments(
                QueryParameters.required(call, "service"),
                table.version().revision(),
                coordinator.map(r -> r.version().revision()).orElse(0L),
                coordinator.map(CoordinatorRecord::daemon).orElse(""),
                table.assignments().stream().map(OperatorEndpoint::toRangeRow).toList());
    }

    /**
     * Converts an assignment to a row. For a range that is moving, the row names all incarnations
     * that may still hold its keys as previous holders, and its new owner as the next one.
     */
    private static Replies.RangeRow toRangeRow(Assignment assignment) {
        boolean moving = assignment.isMoving();
        return new Replies.RangeRow(
                String.valueOf(assignment.range().first()),
                String.valueOf(assignment.range().last()),
                moving ? "-" : assignment.owner(),
                assignment.fence(),
                moving ? String.join(",", assignment.previous()) : "-",
                moving ? assignment.owner() : "-");
    }

    private static HttpReply error(ResultCode code, String message) {
        return JsonReply.error(code, message);
    }

    private static CompletableFuture<HttpReply> completed(HttpReply reply) {
        return CompletableFuture.completedFuture(reply);
    }
}
