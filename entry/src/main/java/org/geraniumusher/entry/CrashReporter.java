package org.geraniumusher.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.Maps;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.entry.QuarantineService.CrashReport;
import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.keyrange.CoordinatorRecord;
import org.geraniumusher.model.Address;
import org.geraniumusher.quarantine.CrashSuspect;
import org.geraniumusher.quarantine.RequestFingerprint;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Keeps this daemon's evidence of crashes for a while and reports it to the coordinator, which adds
 * up that of all daemons. Confined to the event loop.
 *
 * <p>Invariants: evidence that the present coordinator has not acknowledged is sent again, so its
 * ledger may be lost with it. A request that completed is in no evidence from before. Memory is
 * bounded.
 */
final class CrashReporter {
    static final String PATH = "/crashes";

    private static final String CRASHES = "crashes";
    private static final String COMPLETED = "completed";
    private static final String INCARNATION = "incarnation";
    private static final String SUSPECTS = "suspects";
    private static final String AGE_MILLIS = "age_ms";
    private static final String FINGERPRINT = "fingerprint";
    private static final String SERVICE = "service";
    private static final String TARGET = "target";

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(700);
    private static final int MAX_CRASHES = 256;
    private static final int MAX_SUSPECTS = 8_192;
    private static final int MAX_SUSPECTS_PER_CALL = 2_000;
    private static final int MAX_COMPLETED = 1_024;
    private static final long EVIDENCE_NANOS = 120_000_000_000L;

    /** Interval at which the success of one request is reported. */
    private static final long COMPLETED_INTERVAL_NANOS = 1_000_000_000L;

    private final DaemonContext mContext;
    private final CoordinatorService mCoordinator;
    private final QuarantineService mQuarantines;
    private final HttpClient mClient;
    private final LongSupplier mClock;
    private final Map<String, Crash> mCrashes = new LinkedHashMap<>();
    private final Map<RequestFingerprint, Completion> mCompletions = new LinkedHashMap<>();

    /** Number of crashes in {@link #mCrashes} with each request. */
    private final Map<RequestFingerprint, Integer> mCrashCounts = new HashMap<>();

    /** Number of suspects in {@link #mCrashes} with each service and target. */
    private final Map<String, Integer> mTargetCounts = new HashMap<>();

    private int mSuspectCount;
    private boolean mCallInFlight;

    private static final class Crash {
        private final long mAt;
        private final Map<RequestFingerprint, CrashSuspect> mSuspects = new LinkedHashMap<>();
        private String mAcknowledgedBy = "";

        Crash(long at) {
            mAt = at;
        }

        long ageMillis(long nowNanos) {
            return TimeUnit.NANOSECONDS.toMillis(nowNanos - mAt);
        }
    }

    private static final class Completion {
        private final long mAt;
        private boolean mAcknowledged;

        Completion(long at) {
            mAt = at;
        }
    }

    CrashReporter(
            DaemonContext context,
            CoordinatorService coordinator,
            QuarantineService quarantines,
            HttpClient client) {
        mContext = context;
        mCoordinator = coordinator;
        mQuarantines = quarantines;
        mClient = client;
        mClock = context.clock();
    }

    /** Records a crash that this daemon has detected, and reports it. */
    void onCrash(String incarnationId, List<CrashSuspect> suspects) {
        Crash crash = new Crash(mClock.getAsLong());
        for (CrashSuspect suspect : suspects) {
            if (crash.mSuspects.put(suspect.fingerprint(), suspect) == null) {
                mSuspectCount++;
                mCrashCounts.merge(suspect.fingerprint(), 1, Integer::sum);
                mTargetCounts.merge(
                        RequestIdentity.targetKey(suspect.service(), suspect.target()),
                        1,
                        Integer::sum);
            }
        }
        mCrashes.put(incarnationId, crash);
        while (mCrashes.size() > MAX_CRASHES || mSuspectCount > MAX_SUSPECTS) {
            dropOldest("too much evidence");
        }
        send();
    }

    /** Records that a request was executed to its end, which clears it, and reports that. */
    void onCompleted(RequestFingerprint fingerprint) {
        long now = mClock.getAsLong();
        Completion last = mCompletions.get(fingerprint);
        if (last != null && now - last.mAt < COMPLETED_INTERVAL_NANOS
                || last == null && mCompletions.size() >= MAX_COMPLETED) {
            return;
        }
        mCompletions.put(fingerprint, new Completion(now));
        forget(fingerprint);
        send();
    }

    /** Removes a request from the evidence, because it completed or an operator cleared it. */
    void forget(RequestFingerprint fingerprint) {
        if (crashesUnder(fingerprint) > 0) {
            mCrashes.values().forEach(crash -> removeSuspect(crash, fingerprint));
        }
    }

    private void removeSuspect(Crash crash, RequestFingerprint fingerprint) {
        CrashSuspect suspect = crash.mSuspects.remove(fingerprint);
        if (suspect != null) {
            mSuspectCount--;
            mCrashCounts.merge(fingerprint, -1, CrashReporter::sumUnlessZero);
            mTargetCounts.merge(
                    RequestIdentity.targetKey(suspect.service(), suspect.target()),
                    -1,
                    CrashReporter::sumUnlessZero);
        }
    }

    private static Integer sumUnlessZero(Integer a, Integer b) {
        return a + b == 0 ? null : Integer.valueOf(a + b);
    }

    /** Returns how many crashes in the evidence of this daemon were under the request. */
    int crashesUnder(RequestFingerprint fingerprint) {
        return mCrashCounts.getOrDefault(fingerprint, 0);
    }

    /** Reports whether the evidence has a request with this service and target. */
    boolean hasTarget(String service, String target) {
        return !mTargetCounts.isEmpty()
                && mTargetCounts.containsKey(RequestIdentity.targetKey(service, target));
    }

    private void dropOldest(String reason) {
        String incarnationId = mCrashes.keySet().iterator().next();
        Crash crash = mCrashes.get(incarnationId);
        if (!reason.isEmpty()) {
            mContext.log()
                    .write(
                            Part.SERVER,
                            "Evidence of a crash is dropped",
                            "server",
                            incarnationId,
                            "suspects",
                            crash.mSuspects.size(),
                            "reason",
                            reason);
        }
        List.copyOf(crash.mSuspects.keySet()).forEach(f -> removeSuspect(crash, f));
        mCrashes.remove(incarnationId);
    }

    /** Drops old evidence and sends what the present coordinator has not acknowledged. */
    void tick() {
        long now = mClock.getAsLong();
        while (!mCrashes.isEmpty()
                && now - mCrashes.values().iterator().next().mAt > EVIDENCE_NANOS) {
            dropOldest("");
        }
        mCompletions
                .values()
                .removeIf(
                        c ->
                                now - c.mAt > EVIDENCE_NANOS
                                        || c.mAcknowledged
                                                && now - c.mAt > COMPLETED_INTERVAL_NANOS);
        send();
    }

    private void send() {
        if (mCallInFlight || mCrashes.isEmpty() && mCompletions.isEmpty()) {
            return;
        }
        if (mCoordinator.isActing()) {
            Batch batch = nextBatch("self");
            while (!batch.isEmpty()) {
                mQuarantines.onReport(
                        batch.reports(mClock.getAsLong()), batch.completions().keySet());
                batch.acknowledge("self");
                batch = nextBatch("self");
            }
            return;
        }
        Optional<CoordinatorRecord> coordinator = mCoordinator.presentCoordinator();
        if (coordinator.isEmpty()) {
            return;
        }
        String identity = coordinator.get().incarnationId();
        Batch batch = nextBatch(identity);
        if (batch.isEmpty()) {
            return;
        }
        mCallInFlight = true;
        HttpCall call =
                DeflatedJson.encode(
                        HttpCall.of("POST", PATH, batch.encode(mClock.getAsLong()).toString()));
        mClient.call(Address.of(coordinator.get().peerAddress()), call, CALL_TIMEOUT)
                .whenComplete(
                        (reply, error) ->
                                mContext.thread()
                                        .execute(
                                                () -> {
                                                    mCallInFlight = false;
                                                    boolean accepted =
                                                            error == null && reply.status() == 200;
                                                    onSent(
                                                            batch,
                                                            identity,
                                                            accepted
                                                                    ? ""
                                                                    : error == null
                                                                            ? "status "
                                                                                    + reply.status()
                                                                            : error.getMessage());
                                                }));
    }

    private void onSent(Batch batch, String identity, String failure) {
        if (failure.isEmpty()) {
            batch.acknowledge(identity);
            send();
            return;
        }
        mContext.log()
                .write(
                        Part.PEER,
                        "Report of crashes to the coordinator failed",
                        "coordinator",
                        identity,
                        "crashes",
                        batch.crashes().size(),
                        "completed",
                        batch.completions().size(),
                        "cause",
                        failure);
    }

    private Batch nextBatch(String identity) {
        Map<String, Crash> crashes = new LinkedHashMap<>();
        int suspects = 0;
        for (Map.Entry<String, Crash> entry : mCrashes.entrySet()) {
            Crash crash = entry.getValue();
            if (!crash.mAcknowledgedBy.equals(identity) && suspects < MAX_SUSPECTS_PER_CALL) {
                suspects += crash.mSuspects.size();
                crashes.put(entry.getKey(), crash);
            }
        }
        Map<RequestFingerprint, Completion> completions = new LinkedHashMap<>(mCompletions);
        completions.values().removeIf(c -> c.mAcknowledged);
        return new Batch(crashes, completions);
    }

    /** Evidence that is sent in one call. */
    private record Batch(
            Map<String, Crash> crashes, Map<RequestFingerprint, Completion> completions) {
        boolean isEmpty() {
            return crashes.isEmpty() && completions.isEmpty();
        }

        Map<String, CrashReport> reports(long nowNanos) {
            return Maps.transformValues(
                    crashes,
                    crash -> new CrashReport(crash.mSuspects.values(), crash.ageMillis(nowNanos)));
        }

        void acknowledge(String identity) {
            crashes.values().forEach(crash -> crash.mAcknowledgedBy = identity);
            completions.values().forEach(completion -> completion.mAcknowledged = true);
        }

        ObjectNode encode(long nowNanos) {
            ObjectNode json = JsonNodeFactory.instance.objectNode();
            ArrayNode crashList = json.putArray(CRASHES);
            crashes.forEach(
                    (incarnationId, crash) -> {
                        ObjectNode item = crashList.addObject();
                        item.put(INCARNATION, incarnationId);
                        item.put(AGE_MILLIS, crash.ageMillis(nowNanos));
                        ArrayNode suspects = item.putArray(SUSPECTS);
                        for (CrashSuspect suspect : crash.mSuspects.values()) {
                            suspects.addObject()
                                    .put(FINGERPRINT, suspect.fingerprint().hex())
                                    .put(SERVICE, suspect.service())
                                    .put(TARGET, suspect.target());
                        }
                    });
            ArrayNode completed = json.putArray(COMPLETED);
            completions.keySet().forEach(fingerprint -> completed.add(fingerprint.hex()));
            return json;
        }
    }

    /**
     * Passes the report of a peer on to the coordinator's side.
     *
     * @return false if this daemon is not the coordinator, so that the peer sends it again
     * @throws IllegalArgumentException if the report is invalid
     */
    boolean onReport(JsonNode report) {
        if (!mCoordinator.isActing()) {
            return false;
        }
        List<RequestFingerprint> completed = new ArrayList<>();
        report.path(COMPLETED).forEach(f -> completed.add(new RequestFingerprint(f.asText())));
        Map<String, CrashReport> crashes = new LinkedHashMap<>();
        for (JsonNode crash : report.path(CRASHES)) {
            List<CrashSuspect> suspects = new ArrayList<>();
            for (JsonNode suspect : crash.path(SUSPECTS)) {
                suspects.add(
                        new CrashSuspect(
                                new RequestFingerprint(suspect.path(FINGERPRINT).asText()),
                                suspect.path(SERVICE).asText(),
                                suspect.path(TARGET).asText()));
            }
            crashes.put(
                    crash.path(INCARNATION).asText(),
                    new CrashReport(suspects, crash.path(AGE_MILLIS).asLong()));
        }
        mQuarantines.onReport(crashes, completed);
        return true;
    }
}
