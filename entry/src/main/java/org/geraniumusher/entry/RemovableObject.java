package org.geraniumusher.entry;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.operator.JsonReply;

import java.util.concurrent.CompletableFuture;
import java.util.function.LongFunction;

/**
 * The kinds of objects that operators remove from the store through a daemon. Immutable.
 *
 * <p>Invariant: only the revision that was read is removed, so that a concurrent change is not
 * lost.
 */
enum RemovableObject {
    /** A drain; its end returns servers to service. */
    DRAIN(StoreKind.DRAINS, "drain", "drain", "Operator ended a drain"),
    /** A quarantine; its end lets a request reach servers again. */
    QUARANTINE(StoreKind.QUARANTINES, "quarantine", "request", "Operator released a request");

    private final StoreKind mKind;
    private final String mNoun;
    private final String mLogField;
    private final String mRemovedEvent;

    RemovableObject(StoreKind kind, String noun, String logField, String removedEvent) {
        mKind = kind;
        mNoun = noun;
        mLogField = logField;
        mRemovedEvent = removedEvent;
    }

    /**
     * Removes an object from the store and replies with its result.
     *
     * @param toBody returns the body of the reply that confirms the removal of a revision
     */
    CompletableFuture<HttpReply> remove(
            Store store, DecisionLog log, String name, LongFunction<Object> toBody) {
        return store.read(mKind, name)
                .thenCompose(
                        result ->
                                result instanceof StoreResult.Written found
                                        ? remove(
                                                store, log, name, found.object().revision(), toBody)
                                        : CompletableFuture.completedFuture(
                                                failureReply(name, result)));
    }

    private CompletableFuture<HttpReply> remove(
            Store store, DecisionLog log, String name, long revision, LongFunction<Object> toBody) {
        return store.remove(mKind, name, revision)
                .thenApply(
                        result -> {
                            log.write(
                                    Part.STORE,
                                    mRemovedEvent,
                                    mLogField,
                                    name,
                                    "revision",
                                    revision,
                                    "result",
                                    result);
                            return result instanceof StoreResult.Removed
                                    ? JsonReply.ok(toBody.apply(revision))
                                    : failureReply(name, result);
                        });
    }

    private HttpReply failureReply(String name, StoreResult result) {
        if (result instanceof StoreResult.NotFound) {
            return JsonReply.error(ResultCode.NOT_FOUND, "no " + mNoun + " " + name);
        }
        if (result instanceof StoreResult.Conflict) {
            return JsonReply.error(
                    ResultCode.CONFLICT, mNoun + " " + name + " was changed concurrently");
        }
        return unavailableReply(result);
    }

    /** Returns the reply to a call that the store refused or did not answer. */
    static HttpReply unavailableReply(StoreResult result) {
        return JsonReply.error(ResultCode.PLATFORM_UNAVAILABLE, "the store returned " + result);
    }
}
