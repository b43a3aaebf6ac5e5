package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.http.Cancellation;
import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.StoreVersion;
import org.geraniumusher.relay.Feeders;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;

/**
 * On a follower, watches the entries of backend servers through a feeder of its data centre instead
 * of the store. Forwards all other calls to the store.
 *
 * <p>If no feeder is known, or the last one failed, the watch goes to the store. After a single
 * fault, a follower is thus behind the store by at most {@link RelayEndpoint#MAX_LAG_NANOS}: the
 * time for which a feeder serves its copy without a new answer of the store, and the pause of the
 * follower after a batch of changes. Confined to the event loop.
 */
final class RelayedStore implements Store {
    /**
     * Timeout of a whole watch through a feeder, which includes the time to connect: that alone may
     * take as long if the link of the feeder is saturated. Longer than the wait at the feeder and
     * shorter than the time within which followers must learn of servers that shut down.
     */
    private static final Duration RELAY_TIMEOUT = Duration.ofMillis(1_000);

    /** Time without feeders after one failed; a restart of a daemon takes about as long. */
    private static final long FEEDER_RETRY_NANOS = 3_000_000_000L;

    private final Store mDelegate;
    private final EntrySettings mSettings;
    private final WireFormat mWire;
    private final HttpClient mClient;
    private final EventThread mThread;
    private final LongSupplier mClock;
    private final DecisionLog mLog;
    private final EntryMetrics mMetrics;
    private ImmutableList<Feeders.Member> mFeeders = ImmutableList.of();
    private GuardedWatch.Source mSource = GuardedWatch.Source.STORE;
    private boolean mLastWatchDirect;
    private int mFeederIndex;
    private long mSkipFeedersUntilNanos = Long.MIN_VALUE;

    RelayedStore(
            Store delegate,
            EntrySettings settings,
            WireFormat wire,
            HttpClient client,
            EventThread thread,
            LongSupplier clock,
            DecisionLog log,
            EntryMetrics metrics) {
        mDelegate = checkNotNull(delegate);
        mSettings = checkNotNull(settings);
        mWire = checkNotNull(wire);
        mClient = checkNotNull(client);
        mThread = checkNotNull(thread);
        mClock = checkNotNull(clock);
        mLog = checkNotNull(log);
        mMetrics = checkNotNull(metrics);
    }

    /** Sets the daemons of the fleet, of which some are chosen as feeders. */
    void setMembers(List<Feeders.Member> members) {
        boolean isFollower = !Feeders.isFeeder(members, mSettings.name(), mSettings.dataCentre());
        if (isFollower != isFollower()) {
            mLog.write(
                    Part.PEER,
                    isFollower ? "Follows feeders" : "Watches the store itself",
                    "daemons",
                    members.size());
        }
        GuardedWatch.Source ownSource =
                Feeders.usesFeeders(members)
                        ? GuardedWatch.Source.STORE_FOR_FOLLOWERS
                        : GuardedWatch.Source.STORE;
        mSource = isFollower ? GuardedWatch.Source.FEEDER : ownSource;
        mFeeders = Feeders.feedersFor(members, mSettings.name(), mSettings.dataCentre());
    }

    /** Returns whether the last watch of servers was answered by the store, not by a feeder. */
    boolean isLastWatchDirect() {
        return mLastWatchDirect;
    }

    /** Returns whether this daemon watches the entries of servers through feeders. */
    boolean isFollower() {
        return mSource == GuardedWatch.Source.FEEDER;
    }

    /** Returns from where this daemon reads the entries of backend servers. */
    GuardedWatch.Source source() {
        return mSource;
    }

    @Override
    public CompletableFuture<StoreResult> watch(StoreKind kind, long revision, long waitMillis) {
        if (kind != StoreKind.SERVERS) {
            return mDelegate.watch(kind, revision, waitMillis);
        }
        if (!isFollower() || mFeeders.isEmpty() || mClock.getAsLong() < mSkipFeedersUntilNanos) {
            return watchDirectly(revision, waitMillis);
        }
        mLastWatchDirect = false;
        Address feeder = mFeeders.get(mFeederIndex % mFeeders.size()).peerAddress();
        CompletableFuture<StoreResult> result = new CompletableFuture<>();
        CompletableFuture<HttpReply> call =
                mClient.call(
                        feeder,
                        HttpCall.of(
                                "GET",
                                RelayEndpoint.watchUri(
                                        new StoreVersion(epoch().current(), revision))),
                        RELAY_TIMEOUT);
        Future<?> timeout =
                mThread.schedule(
                        () ->
                                call.completeExceptionally(
                                        new TimeoutException(
                                                "no complete reply within the timeout")),
                        RELAY_TIMEOUT.toMillis(),
                        TimeUnit.MILLISECONDS);
        Cancellation.propagate(result, call);
        call.whenComplete(
                (reply, error) -> {
                    timeout.cancel(false);
                    mThread.execute(() -> onRelayReply(feeder, reply, error, revision, result));
                });
        return result;
    }

    private void onRelayReply(
            Address feeder,
            HttpReply reply,
            Throwable error,
            long revision,
            CompletableFuture<StoreResult> result) {
        if (result.isDone()) { // The watch was given up.
            return;
        }
        String reason = error != null ? String.valueOf(error) : "status " + reply.status();
        boolean historyGone = error == null && reply.status() == RelayEndpoint.HISTORY_GONE;
        if (historyGone || error == null && reply.isOk()) {
            try {
                if (epoch().observe(RelayEndpoint.decodeEpoch(reply))) {
                    StoreResult decoded =
                            historyGone
                                    ? new StoreResult.HistoryGone()
                                    : RelayEndpoint.decode(reply, mWire);
                    mMetrics.onStoreCall("watch_feeder", StoreKind.SERVERS, decoded);
                    result.complete(decoded);
                    return;
                }
                reason = "reply from an earlier epoch of the store";
            } catch (RuntimeException e) {
                // Without a result the caller would never call again.
                reason = e.toString();
            }
        }
        mLog.write(
                Part.PEER,
                "Watch through the feeder failed, watching the store",
                "feeder",
                feeder,
                "reason",
                reason);
        mFeederIndex++;
        mSkipFeedersUntilNanos = mClock.getAsLong() + FEEDER_RETRY_NANOS;
        Cancellation.forward(watchDirectly(revision, GuardedWatch.FEEDER_WAIT_MILLIS), result);
    }

    /**
     * Watches the store. The watch counts as direct only once it is answered, because until then
     * the copy may be that of a feeder.
     */
    private CompletableFuture<StoreResult> watchDirectly(long revision, long waitMillis) {
        CompletableFuture<StoreResult> watch =
                mDelegate.watch(StoreKind.SERVERS, revision, waitMillis);
        return Cancellation.propagate(
                watch.thenApply(
                        result -> {
                            mThread.execute(() -> mLastWatchDirect = true);
                            return result;
                        }),
                watch);
    }

    @Override
    public StoreEpoch epoch() {
        return mDelegate.epoch();
    }

    @Override
    public CompletableFuture<StoreResult> list(StoreKind kind, String after, boolean allowStale) {
        return mDelegate.list(kind, after, allowStale);
    }

    @Override
    public CompletableFuture<StoreResult> create(StoreKind kind, String name, JsonNode spec) {
        return mDelegate.create(kind, name, spec);
    }

    @Override
    public CompletableFuture<StoreResult> replace(
            StoreKind kind, String name, JsonNode spec, long revision) {
        return mDelegate.replace(kind, name, spec, revision);
    }

    @Override
    public CompletableFuture<StoreResult> remove(StoreKind kind, String name, long revision) {
        return mDelegate.remove(kind, name, revision);
    }

    @Override
    public CompletableFuture<StoreResult> read(StoreKind kind, String name) {
        return mDelegate.read(kind, name);
    }
}
