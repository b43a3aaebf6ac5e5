package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.http.Responder;
import org.geraniumusher.model.StoreVersion;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Lets followers watch the entries of backend servers through this daemon, by long polling.
 *
 * <p>Invariant: changes are only sent while the copy is confirmed, which means that the last watch
 * of this daemon was answered by the store itself, not by a feeder, and that this was less than
 * {@link #MAX_CONFIRMATION_AGE_NANOS} ago, in the current epoch of the store. Otherwise the request
 * fails and the follower watches the store. Confined to the event loop.
 */
final class RelayEndpoint {
    static final String PATH = "/relay";

    /**
     * HTTP status when the changes after the follower's revision are no longer kept, or when its
     * copy is from an earlier epoch of the store.
     */
    static final int HISTORY_GONE = 410;

    /** Covers a feeder's watch of 1 s, the pause after it and a slow response of the store. */
    static final long MAX_CONFIRMATION_AGE_NANOS = 1_600_000_000L;

    /**
     * Longest time in ns by which the copy of a follower is behind the store after a single fault.
     * Includes the pause that the follower makes after each batch of changes.
     */
    static final long MAX_LAG_NANOS =
            MAX_CONFIRMATION_AGE_NANOS
                    + TimeUnit.MILLISECONDS.toNanos(KindMirror.COALESCING_PAUSE_MILLIS);

    /** HTTP status when the copy is not confirmed. */
    private static final int NOT_CONFIRMED = 503;

    private static final long POLL_WAIT_MILLIS = 700;
    private static final String EPOCH = "epoch";
    private static final String REVISION = "revision";
    private static final String CHANGES = "changes";
    private static final String OBJECT = "object";
    private static final String REMOVED = "removed";

    private final KindMirror mServers;
    private final StoreEpoch mEpoch;
    private final RelayedStore mRelayedStore;
    private final EventThread mThread;
    private final LongSupplier mClock;
    private final List<PendingPoll> mPendingPolls = new ArrayList<>();

    /** A request of a follower that has all changes up to {@code version}. */
    private record PendingPoll(StoreVersion version, Responder responder) {}

    RelayEndpoint(DaemonContext context, RelayedStore relayedStore) {
        mServers = context.directory().mirror(StoreKind.SERVERS);
        mRelayedStore = checkNotNull(relayedStore);
        mThread = context.thread();
        mClock = context.clock();
        mEpoch = context.store().epoch();
        mEpoch.addListener(this::answerPendingPolls);
        context.directory().addListener(this::answerPendingPolls);
    }

    /** Returns the path and query of a request for the changes after a version. */
    static String watchUri(StoreVersion version) {
        return PATH + "?revision=" + version.revision() + "&epoch=" + version.epoch();
    }

    /**
     * Answers a follower at once if there are changes after its revision or the copy is not
     * confirmed. Otherwise waits for changes, for at most {@link #POLL_WAIT_MILLIS} and no longer
     * than the copy stays confirmed without a new answer of the store.
     */
    void answer(HttpCall call, Responder responder) {
        long revision = Long.parseLong(call.query(REVISION).orElse("-1"));
        long epoch = Long.parseLong(call.query(EPOCH).orElse("0"));
        mEpoch.observe(epoch);
        PendingPoll poll = new PendingPoll(new StoreVersion(epoch, revision), responder);
        if (!isConfirmed() || isAnswerDue(poll)) {
            reply(poll);
            return;
        }
        mPendingPolls.add(poll);
        long confirmedMillis =
                TimeUnit.NANOSECONDS.toMillis(MAX_CONFIRMATION_AGE_NANOS - nanosSinceStoreAnswer());
        mThread.schedule(
                () -> onPollTimeout(poll),
                Math.min(POLL_WAIT_MILLIS, confirmedMillis + 1),
                TimeUnit.MILLISECONDS);
    }

    private void onPollTimeout(PendingPoll poll) {
        if (mPendingPolls.remove(poll)) {
            reply(poll);
        }
    }

    private void answerPendingPolls() {
        for (PendingPoll poll : List.copyOf(mPendingPolls)) {
            if (isAnswerDue(poll) && mPendingPolls.remove(poll)) {
                reply(poll);
            }
        }
    }

    private boolean isAnswerDue(PendingPoll poll) {
        return poll.version().epoch() < mEpoch.current()
                || mServers.version().isAfter(poll.version());
    }

    private long nanosSinceStoreAnswer() {
        return mClock.getAsLong() - mServers.lastAnswerNanos();
    }

    private boolean isConfirmed() {
        return mRelayedStore.isLastWatchDirect()
                && mServers.isReachable()
                && mServers.version().epoch() == mEpoch.current()
                && nanosSinceStoreAnswer() < MAX_CONFIRMATION_AGE_NANOS;
    }

    private void reply(PendingPoll poll) {
        if (poll.version().epoch() < mEpoch.current()) {
            poll.responder().reply(historyGoneReply());
            return;
        }
        if (!isConfirmed()) {
            poll.responder().reply(HttpReply.of(NOT_CONFIRMED, "{}"));
            return;
        }
        if (poll.version().isAfter(mServers.version())) {
            // A revision counts the changes of all kinds, so the copy of a follower that comes from
            // the store can have a higher one. This copy holds nothing that the follower lacks.
            reply(poll, poll.version(), ImmutableList.of());
            return;
        }
        Optional<ImmutableList<StoreResult.Change>> changes =
                mServers.changesSince(poll.version().revision());
        if (changes.isPresent()) {
            reply(poll, mServers.version(), changes.get());
        } else {
            poll.responder().reply(historyGoneReply());
        }
    }

    private static void reply(
            PendingPoll poll, StoreVersion version, List<StoreResult.Change> changes) {
        poll.responder().reply(DeflatedJson.encode(HttpReply.of(200, encode(version, changes))));
    }

    private HttpReply historyGoneReply() {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        return HttpReply.of(HISTORY_GONE, body.put(EPOCH, mEpoch.current()).toString());
    }

    private static String encode(StoreVersion version, List<StoreResult.Change> changes) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put(EPOCH, version.epoch());
        body.put(REVISION, version.revision());
        ArrayNode changeNodes = body.putArray(CHANGES);
        for (StoreResult.Change change : changes) {
            ObjectNode changeNode = changeNodes.addObject();
            changeNode.set(OBJECT, change.object().content());
            changeNode.put(REMOVED, change.removed());
        }
        return body.toString();
    }

    /**
     * Decodes the epoch of the store in a reply with changes, or with status {@link #HISTORY_GONE}.
     *
     * @throws IllegalArgumentException if the reply cannot be decoded
     */
    static long decodeEpoch(HttpReply reply) {
        return DeflatedJson.decode(reply).path(EPOCH).asLong();
    }

    /**
     * Decodes a reply with changes.
     *
     * @throws IllegalArgumentException if the reply cannot be decoded
     */
    static StoreResult.Changes decode(HttpReply reply, WireFormat wire) {
        JsonNode body = DeflatedJson.decode(reply);
        ImmutableList.Builder<StoreResult.Change> changes = ImmutableList.builder();
        for (JsonNode changeNode : body.path(CHANGES)) {
            changes.add(
                    new StoreResult.Change(
                            wire.decodeObject(changeNode.path(OBJECT)),
                            changeNode.path(REMOVED).asBoolean()));
        }
        return new StoreResult.Changes(changes.build(), body.path(REVISION).asLong());
    }
}
