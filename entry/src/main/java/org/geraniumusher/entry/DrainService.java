package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.keyrange.Assignment;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.model.Selector;
import org.geraniumusher.operator.JsonReply;
import org.geraniumusher.operator.QueryParameters;
import org.geraniumusher.operator.Replies;
import org.geraniumusher.traffic.Drain;
import org.geraniumusher.traffic.ServerEntry;

import java.util.concurrent.CompletableFuture;

/**
 * Starts and ends drains for operators, and reports their progress. Drains are kept in the store,
 * from which every daemon reads them. Confined to the event loop.
 */
final class DrainService {
    private final Directory mDirectory;
    private final Store mStore;
    private final DecisionLog mLog;

    DrainService(DaemonContext context) {
        mDirectory = checkNotNull(context.directory());
        mStore = checkNotNull(context.store());
        mLog = checkNotNull(context.log());
    }

    /** Lists the drains that are in force at this daemon. */
    HttpReply list() {
        return JsonReply.ok(
                new Replies.Drains(mDirectory.drains().stream().map(this::toRow).toList()));
    }

    private Replies.DrainRow toRow(Drain drain) {
        ImmutableSet<String> incarnationIds =
                mDirectory.servers().values().stream()
                        .filter(drain::matches)
                        .map(ServerEntry::incarnationId)
                        .collect(ImmutableSet.toImmutableSet());
        long ranges =
                mDirectory.tables().tables().values().stream()
                        .flatMap(t -> t.assignments().stream())
                        .filter(a -> isOwnedOrHeldBy(a, incarnationIds))
                        .count();
        StoreObject object = mDirectory.mirror(StoreKind.DRAINS).objects().get(drain.name());
        return new Replies.DrainRow(
                drain.name(),
                drain.selector().toString(),
                object == null ? 0 : object.revision(),
                incarnationIds.size(),
                (int) ranges);
    }

    /** Reports whether any of the incarnations owns the range or may still hold keys of it. */
    private static boolean isOwnedOrHeldBy(
            Assignment assignment, ImmutableSet<String> incarnationIds) {
        return incarnationIds.contains(assignment.owner())
                || assignment.previous().stream().anyMatch(incarnationIds::contains);
    }

    /** Starts to take the servers that match a selector out of service. */
    CompletableFuture<HttpReply> start(HttpCall call) {
        Drain drain =
                new Drain(
                        QueryParameters.required(call, "name"),
                        Selector.of(QueryParameters.required(call, "selector")));
        return mStore.create(StoreKind.DRAINS, drain.name(), DrainCodec.encode(drain))
                .thenApply(result -> onCreated(drain, result));
    }

    private HttpReply onCreated(Drain drain, StoreResult result) {
        mLog.write(
                Part.STORE,
                "Operator started a drain",
                "drain",
                drain.name(),
                "selector",
                drain.selector(),
                "result",
                result);
        if (result instanceof StoreResult.Written written) {
            return changedReply(drain.name(), written.object().revision());
        }
        if (result instanceof StoreResult.Conflict conflict) {
            // An equal drain means that the call was repeated, for example after a lost reply.
            Drain existing = DrainCodec.decode(conflict.object());
            return existing.equals(drain)
                    ? changedReply(drain.name(), conflict.object().revision())
                    : JsonReply.error(
                            ResultCode.CONFLICT,
                            "drain "
                                    + drain.name()
                                    + " exists with selector "
                                    + existing.selector());
        }
        return RemovableObject.unavailableReply(result);
    }

    /** Returns the servers of a drain to service. */
    CompletableFuture<HttpReply> end(HttpCall call) {
        String name = QueryParameters.required(call, "name");
        return RemovableObject.DRAIN.remove(
                mStore, mLog, name, revision -> new Replies.DrainChanged(name, revision));
    }

    private static HttpReply changedReply(String name, long revision) {
        return JsonReply.ok(new Replies.DrainChanged(name, revision));
    }
}
