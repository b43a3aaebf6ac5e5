package org.geraniumusher.operator;

import com.google.common.flogger.FluentLogger;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.model.Kind;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.platform.Json;
import org.geraniumusher.platform.ReadResult;
import org.geraniumusher.platform.StoredObject;
import org.geraniumusher.platform.WriteResult;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongFunction;

/** Reads and changes configuration objects. Thread-safe; never blocks. */
final class ObjectEndpoint {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final DaemonView mView;
    private final ObjectWriter mWriter;

    ObjectEndpoint(DaemonView view, ObjectWriter writer) {
        mView = view;
        mWriter = writer;
    }

    CompletableFuture<HttpReply> handle(HttpCall call) {
        return switch (call.method()) {
            case "GET" -> call.query("name").isPresent() ? get(call) : list(call);
            case "PUT" -> put(call);
            case "DELETE" -> delete(call);
            default ->
                    CompletableFuture.completedFuture(
                            JsonReply.error(
                                    ResultCode.BAD_REQUEST, "bad method: " + call.method()));
        };
    }

    private CompletableFuture<HttpReply> get(HttpCall call) {
        Kind kind = ObjectCheck.kind(QueryParameters.required(call, "kind"));
        String name = ObjectCheck.name(QueryParameters.required(call, "name"));
        return mWriter.get(kind, name).thenApply(result -> toOneReply(result, kind, name));
    }

    private static HttpReply toOneReply(ReadResult result, Kind kind, String name) {
        if (result instanceof ReadResult.Unavailable unavailable) {
            return unavailable(unavailable.reason());
        }
        return ((ReadResult.Found) result)
                .objects().stream()
                        .findFirst()
                        .map(JsonReply::ok)
                        .orElseGet(
                                () ->
                                        JsonReply.error(
                                                ResultCode.NOT_FOUND,
                                                "no " + kind.path() + " " + name));
    }

    private CompletableFuture<HttpReply> list(HttpCall call) {
        List<Kind> kinds =
                call.query("kind")
                        .map(path -> List.of(ObjectCheck.kind(path)))
                        .orElse(List.of(Kind.values()));
        CompletableFuture<List<ReadResult>> all =
                CompletableFuture.completedFuture(new ArrayList<>());
        for (Kind kind : kinds) {
            all = all.thenCombine(mWriter.list(kind), ObjectEndpoint::append);
        }
        return all.thenApply(ObjectEndpoint::toListReply);
    }

    private static List<ReadResult> append(List<ReadResult> results, ReadResult result) {
        List<ReadResult> copy = new ArrayList<>(results);
        copy.add(result);
        return copy;
    }

    private static HttpReply toListReply(List<ReadResult> results) {
        List<StoredObject> objects = new ArrayList<>();
        for (ReadResult result : results) {
            if (result instanceof ReadResult.Unavailable unavailable) {
                return unavailable(unavailable.reason());
            }
            objects.addAll(((ReadResult.Found) result).objects());
        }
        return JsonReply.ok(new Replies.Objects(objects));
    }

    private CompletableFuture<HttpReply> put(HttpCall call) {
        StoredObject object;
        try {
            StoredObject given = Json.read(call.text(), StoredObject.class);
            object = ObjectCheck.checked(given, mView.configuration());
        } catch (IllegalArgumentException e) {
            return CompletableFuture.completedFuture(
                    JsonReply.error(ResultCode.INVALID_OBJECT, e.getMessage()));
        }
        return mWriter.put(object)
                .thenApply(
                        result -> {
                            log("put", object, result);
                            return toWriteReply(result, version -> written(object, version));
                        });
    }

    private CompletableFuture<HttpReply> delete(HttpCall call) {
        Kind kind = ObjectCheck.kind(QueryParameters.required(call, "kind"));
        String name = ObjectCheck.name(QueryParameters.required(call, "name"));
        long expected = QueryParameters.requiredNumber(call, "version");
        String writer = QueryParameters.required(call, "writer");
        StoredObject object = new StoredObject(kind.path(), name, expected, writer, null);
        return mWriter.delete(kind, name, expected, writer)
                .thenApply(
                        result -> {
                            log("delete", object, result);
                            return toWriteReply(
                                    result, v -> new Replies.Deleted(kind.path(), name, v));
                        });
    }

    private static StoredObject written(StoredObject object, long version) {
        return new StoredObject(
                object.kind(), object.name(), version, object.writer(), object.spec());
    }

    private static HttpReply toWriteReply(WriteResult result, LongFunction<Object> onWritten) {
        if (result instanceof WriteResult.Written done) {
            return JsonReply.ok(onWritten.apply(done.version()));
        }
        if (result instanceof WriteResult.Conflict conflict) {
            Optional<StoredObject> current = conflict.current();
            return JsonReply.of(ResultCode.CONFLICT.httpStatus(), ErrorReply.ofConflict(current));
        }
        if (result instanceof WriteResult.Refused refused) {
            return JsonReply.error(ResultCode.INVALID_OBJECT, refused.reason());
        }
        return unavailable(((WriteResult.Unknown) result).reason());
    }

    private static HttpReply unavailable(String reason) {
        return JsonReply.error(ResultCode.PLATFORM_UNAVAILABLE, reason);
    }

    private static void log(String action, StoredObject object, WriteResult result) {
        LOG.atInfo().log(
                "operator: %s kind=%s name=%s expected=%d writer=%s result=%s",
                action,
                object.kind(),
                object.name(),
                object.version(),
                object.writer(),
                result.getClass().getSimpleName());
    }
}
