package org.geraniumusher.operator;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.model.KeyHash;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.model.Service;
import org.geraniumusher.model.ShardState;
import org.geraniumusher.operator.DaemonView.Readiness;
import org.geraniumusher.operator.DaemonView.ShardSnapshot;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** Answers questions about the state of the daemon from its snapshots. Thread-safe. */
final class StateEndpoint {
    private final String mName;
    private final DaemonView mView;

    StateEndpoint(String name, DaemonView view) {
        mName = name;
        mView = view;
    }

    HttpReply health(HttpCall call) {
        return JsonReply.ok(new Replies.Health(mName));
    }

    HttpReply ready(HttpCall call) {
        Readiness readiness = mView.readiness();
        return switch (readiness) {
            case READY -> JsonReply.ok(new Replies.Ready(true, ""));
            case NO_CONFIGURATION ->
                    JsonReply.of(503, new Replies.Ready(false, "no configuration received yet"));
            case DRAINING -> JsonReply.of(503, new Replies.Ready(false, "the daemon is stopping"));
        };
    }

    HttpReply owner(HttpCall call) {
        String key = QueryParameters.required(call, "key");
        return withShard(call, shard -> ownerOf(key, shard));
    }

    HttpReply assignments(HttpCall call) {
        return withShard(call, StateEndpoint::toAssignments);
    }

    HttpReply daemons(HttpCall call) {
        return JsonReply.ok(new Replies.Daemons(mName, mView.members()));
    }

    /** Answers for all daemons, or with {@code local} for those whose counts are known here. */
    CompletableFuture<HttpReply> burn(HttpCall call) {
        if (!call.method().equals("GET")) {
            throw new IllegalArgumentException("bad method: " + call.method() + ", use GET");
        }
        return call.query("local").isPresent()
                ? CompletableFuture.completedFuture(JsonReply.ok(mView.burn()))
                : mView.burnOfAll().thenApply(JsonReply::ok);
    }

    HttpReply inForce(HttpCall call) {
        long version = QueryParameters.requiredNumber(call, "version");
        mView.awaitInForce(version);
        ImmutableList.Builder<String> have = ImmutableList.builder();
        ImmutableList.Builder<String> lack = ImmutableList.builder();
        for (MemberStatus member : mView.members()) {
            if (member.isLive()) {
                (member.hasInForce(version) ? have : lack).add(member.name());
            }
        }
        ImmutableList<String> behind = lack.build();
        return JsonReply.ok(new Replies.InForce(version, behind.isEmpty(), have.build(), behind));
    }

    private HttpReply withShard(HttpCall call, Function<ShardSnapshot, Object> toReply) {
        String name = QueryParameters.required(call, "service");
        Optional<Service> service = mView.configuration().service(name);
        if (service.isEmpty()) {
            return JsonReply.error(ResultCode.NOT_FOUND, "no service " + name);
        }
        if (!service.get().keyed()) {
            return JsonReply.error(ResultCode.BAD_REQUEST, "service " + name + " is not keyed");
        }
        return mView.shard(name)
                .map(shard -> JsonReply.ok(toReply.apply(shard)))
                .orElseGet(
                        () ->
                                JsonReply.error(
                                        ResultCode.NO_OWNER,
                                        "service " + name + " has no assignments yet"));
    }

    private static Replies.Owner ownerOf(String key, ShardSnapshot shard) {
        long hash = KeyHash.of(key);
        return new Replies.Owner(
                shard.state().service(),
                key,
                Replies.toHex(hash),
                shard.version(),
                Replies.SliceRow.from(shard.state().sliceOf(hash)));
    }

    private static Replies.Assignments toAssignments(ShardSnapshot shard) {
        ShardState state = shard.state();
        return new Replies.Assignments(
                state.service(),
                shard.version(),
                state.term(),
                state.coordinator(),
                state.standbys(),
                state.slices().stream().map(Replies.SliceRow::from).toList());
    }
}
