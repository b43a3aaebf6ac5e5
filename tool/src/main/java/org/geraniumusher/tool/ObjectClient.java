package org.geraniumusher.tool;

import com.google.common.net.UrlEscapers;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.operator.Replies;
import org.geraniumusher.platform.Json;
import org.geraniumusher.platform.StoredObject;

import java.util.List;
import java.util.Optional;

/** Reads and conditionally changes configuration objects. Blocks; not thread-safe. */
final class ObjectClient {
    private static final String PATH = "/admin/objects";

    private final OperatorClient mClient;
    private final String mWriter;

    ObjectClient(OperatorClient client, String writer) {
        mClient = client;
        mWriter = writer;
    }

    /** Returns the name under which changes are written. */
    String writer() {
        return mWriter;
    }

    Result<List<StoredObject>> list(String kind) {
        return mClient.get(PATH + "?kind=" + escape(kind), Replies.Objects.class)
                .map(Replies.Objects::objects);
    }

    Result<StoredObject> get(String kind, String name) {
        return mClient.get(uri(kind, name), StoredObject.class);
    }

    /** Reads an object that may be missing. */
    Result<Optional<StoredObject>> find(String kind, String name) {
        Result<StoredObject> result = get(kind, name);
        if (result instanceof Result.Failed<StoredObject> failed
                && failed.failure().code() == ResultCode.NOT_FOUND) {
            return Result.ok(Optional.empty());
        }
        return result.map(Optional::of);
    }

    /**
     * Writes an object if the store still has the version that it carries. A conflict with exactly
     * this object by this writer counts as written: an earlier attempt at another daemon did it.
     */
    Result<StoredObject> put(StoredObject object) {
        Result<StoredObject> result =
                mClient.call(HttpCall.of("PUT", PATH, Json.write(object)), StoredObject.class);
        if (result instanceof Result.Failed<StoredObject> failed
                && failed.failure().current().filter(now -> isSame(now, object)).isPresent()) {
            return Result.ok(failed.failure().current().get());
        }
        return result;
    }

    Result<Replies.Deleted> delete(StoredObject object) {
        String uri =
                uri(object.kind(), object.name())
                        + "&version="
                        + object.version()
                        + "&writer="
                        + escape(mWriter);
        return mClient.call(HttpCall.of("DELETE", uri), Replies.Deleted.class);
    }

    private static boolean isSame(StoredObject now, StoredObject wanted) {
        return now.version() > wanted.version()
                && wanted.writer().equals(now.writer())
                && wanted.spec().equals(now.spec());
    }

    private static String uri(String kind, String name) {
        return PATH + "?kind=" + escape(kind) + "&name=" + escape(name);
    }

    static String escape(String text) {
        return UrlEscapers.urlFormParameterEscaper().escape(text);
    }
}
