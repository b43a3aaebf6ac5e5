package org.geraniumusher.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.model.Address;
import org.geraniumusher.quarantine.RequestFingerprint;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Asks the coordinator for permits to send requests that are on probation, so that one copy in the
 * whole fleet is tried at a time. Confined to the event loop.
 *
 * <p>Invariant: a copy is sent only with a permit of its own. Without a coordinator that answers,
 * none is.
 */
final class ProbationTrials {
    static final String PATH = "/trial";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String FINGERPRINT = "fingerprint";
    private static final String WAIT_MILLIS = "wait_ms";
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(500);

    /** Time for which an unused permit is valid; far less than the time that a trial has. */
    private static final long PERMIT_NANOS = 500_000_000L;

    /** Time after which a coordinator that did not answer is asked again. */
    private static final long NO_ANSWER_NANOS = 500_000_000L;

    private static final double NANOS_PER_SECOND = 1e9;

    private final CoordinatorService mCoordinator;
    private final QuarantineService mQuarantines;
    private final HttpClient mClient;
    private final EventThread mThread;
    private final LongSupplier mClock;
    private final DecisionLog mLog;
    private final Map<RequestFingerprint, Permission> mPermissions = new HashMap<>();

    /** Whether a copy of a request on probation may be sent now. */
    enum Decision {
        SEND,
        /** The coordinator has been asked. */
        WAIT,
        REJECT
    }

    /**
     * The last answer of the coordinator for one request.
     *
     * @param decision what it says, or {@link Decision#WAIT} until it arrives
     * @param untilNanos time until which it is valid
     */
    private record Permission(Decision decision, long untilNanos) {}

    ProbationTrials(
            DaemonContext context,
            CoordinatorService coordinator,
            QuarantineService quarantines,
            HttpClient client) {
        mCoordinator = coordinator;
        mQuarantines = quarantines;
        mClient = client;
        mThread = context.thread();
        mClock = context.clock();
        mLog = context.log();
    }

    /** Decides on one copy of a request. A permit is used up by {@link Decision#SEND}. */
    Decision decide(RequestFingerprint fingerprint) {
        long now = mClock.getAsLong();
        Permission known = mPermissions.get(fingerprint);
        if (known == null || now >= known.untilNanos()) {
            ask(fingerprint, now);
            known = mPermissions.get(fingerprint);
        }
        if (known.decision() == Decision.SEND) {
            mPermissions.remove(fingerprint);
        }
        return known.decision();
    }

    /** Returns the time in seconds until a copy of a rejected request may be tried. */
    OptionalDouble rejectedForSeconds(RequestFingerprint fingerprint) {
        Permission known = mPermissions.get(fingerprint);
        return known == null || known.decision() != Decision.REJECT
                ? OptionalDouble.empty()
                : OptionalDouble.of(
                        Math.max(0, known.untilNanos() - mClock.getAsLong()) / NANOS_PER_SECOND);
    }

    /** Forgets all requests but those on probation. */
    void retain(Set<RequestFingerprint> onProbation) {
        mPermissions.keySet().retainAll(onProbation);
    }

    private void ask(RequestFingerprint fingerprint, long now) {
        if (mCoordinator.isActing()) {
            onAnswer(fingerprint, mQuarantines.tryBeginTrial(fingerprint));
            return;
        }
        mPermissions.put(fingerprint, new Permission(Decision.WAIT, now + CALL_TIMEOUT.toNanos()));
        mCoordinator
                .presentCoordinator()
                .ifPresentOrElse(
                        c -> call(Address.of(c.peerAddress()), fingerprint),
                        () -> onAnswer(fingerprint, OptionalLong.empty()));
    }

    private void call(Address coordinator, RequestFingerprint fingerprint) {
        String body =
                JsonNodeFactory.instance
                        .objectNode()
                        .put(FINGERPRINT, fingerprint.hex())
                        .toString();
        mClient.call(coordinator, HttpCall.of("POST", PATH, body), CALL_TIMEOUT)
                .whenComplete(
                        (reply, error) ->
                                mThread.execute(
                                        () ->
                                                onAnswer(
                                                        fingerprint,
                                                        error == null
                                                                ? decode(reply)
                                                                : OptionalLong.empty())));
    }

    private OptionalLong decode(HttpReply reply) {
        try {
            JsonNode millis = MAPPER.readTree(reply.body()).path(WAIT_MILLIS);
            return reply.status() == 200 && millis.isIntegralNumber()
                    ? OptionalLong.of(TimeUnit.MILLISECONDS.toNanos(millis.asLong()))
                    : OptionalLong.empty();
        } catch (IOException e) {
            mLog.write(Part.PEER, "Cannot decode the answer for a trial", "reason", e.getMessage());
            return OptionalLong.empty();
        }
    }

    /**
     * Records an answer of the coordinator.
     *
     * @param waitNanos time until the next trial may begin, 0 if this one may, empty if there is no
     *     answer
     */
    private void onAnswer(RequestFingerprint fingerprint, OptionalLong waitNanos) {
        long now = mClock.getAsLong();
        boolean permitted = waitNanos.isPresent() && waitNanos.getAsLong() == 0;
        mPermissions.put(
                fingerprint,
                permitted
                        ? new Permission(Decision.SEND, now + PERMIT_NANOS)
                        : new Permission(Decision.REJECT, now + waitNanos.orElse(NO_ANSWER_NANOS)));
        mLog.write(
                Part.OWNERSHIP,
                permitted ? "Trial of a request is permitted" : "Trial of a request is denied",
                "request",
                fingerprint,
                "wait_ms",
                waitNanos.isPresent()
                        ? TimeUnit.NANOSECONDS.toMillis(waitNanos.getAsLong())
                        : "no answer");
    }

    /**
     * Answers the call of a peer.
     *
     * @throws IllegalArgumentException if the call is invalid
     */
    HttpReply answer(JsonNode call) {
        RequestFingerprint fingerprint = new RequestFingerprint(call.path(FINGERPRINT).asText());
        OptionalLong waitNanos = mQuarantines.tryBeginTrial(fingerprint);
        if (waitNanos.isEmpty()) {
            return HttpReply.of(503, "{}");
        }
        // Rounded up, so that a short wait is not taken for a permit.
        long waitMillis =
                TimeUnit.NANOSECONDS.toMillis(
                        waitNanos.getAsLong() + TimeUnit.MILLISECONDS.toNanos(1) - 1);
        return HttpReply.of(
                200, JsonNodeFactory.instance.objectNode().put(WAIT_MILLIS, waitMillis).toString());
    }
}
