package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ascii;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.operator.JsonReply;
import org.geraniumusher.operator.QueryParameters;
import org.geraniumusher.operator.Replies;
import org.geraniumusher.quarantine.Quarantine;
import org.geraniumusher.quarantine.RequestFingerprint;

import java.time.Instant;
import java.util.Comparator;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Shows operators the quarantined requests and ends quarantines for them. Confined to the event
 * loop.
 */
final class QuarantineEndpoint {
    private static final Comparator<Quarantine> LATEST_FIRST =
            Comparator.comparingLong(Quarantine::sinceMillis).reversed();

    private final Directory mDirectory;
    private final Store mStore;
    private final DecisionLog mLog;
    private final LongSupplier mWallClock;

    /**
     * Creates the endpoint.
     *
     * @param wallClock milliseconds since 1970
     */
    QuarantineEndpoint(DaemonContext context, LongSupplier wallClock) {
        mDirectory = checkNotNull(context.directory());
        mStore = checkNotNull(context.store());
        mLog = checkNotNull(context.log());
        mWallClock = checkNotNull(wallClock);
    }

    /** Registers a gauge of the quarantines in each state. */
    void registerGauges(EntryMetrics metrics) {
        for (Quarantine.State state : Quarantine.State.values()) {
            metrics.registerGauge(
                    "quarantines." + Ascii.toLowerCase(state.name()), () -> count(state));
        }
    }

    private int count(Quarantine.State state) {
        return (int)
                mDirectory.quarantines().values().stream().filter(q -> q.state() == state).count();
    }

    /** Lists the quarantines that are in force at this daemon, the latest first. */
    HttpReply list() {
        return JsonReply.ok(
                new Replies.Quarantines(
                        mDirectory.quarantines().values().stream()
                                .sorted(LATEST_FIRST)
                                .map(this::toRow)
                                .toList()));
    }

    private Replies.QuarantineRow toRow(Quarantine quarantine) {
        long endMillis = quarantine.sinceMillis() + quarantine.durationMillis();
        long leftMillis = Math.max(0, endMillis - mWallClock.getAsLong());
        return new Replies.QuarantineRow(
                quarantine.fingerprint().hex(),
                quarantine.state(),
                quarantine.service(),
                quarantine.target(),
                quarantine.incarnations().size(),
                quarantine.incarnations(),
                Instant.ofEpochMilli(quarantine.sinceMillis()).toString(),
                TimeUnit.MILLISECONDS.toSeconds(leftMillis),
                mDirectory.quarantineRevision(quarantine.fingerprint()));
    }

    /** Ends the quarantine of a request. */
    CompletableFuture<HttpReply> release(HttpCall call) {
        String request = new RequestFingerprint(QueryParameters.required(call, "request")).hex();
        return RemovableObject.QUARANTINE.remove(
                mStore, mLog, request, revision -> new Replies.QuarantineEnded(request, revision));
    }
}
