package org.geraniumusher.operator;

import org.geraniumusher.http.HttpReply;
import org.geraniumusher.model.ResultCode;

/** Builds HTTP replies with JSON bodies. */
public final class JsonReply {
    private JsonReply() {}

    /** Returns a reply with status 200 and {@code body} as JSON. */
    public static HttpReply ok(Object body) {
        return of(200, body);
    }

    /** Returns a reply with the given status and {@code body} as JSON. */
    public static HttpReply of(int status, Object body) {
        return HttpReply.of(status, Json.write(body) + "\n");
    }

    /** Returns an {@link ErrorReply} with the HTTP status of the result code. */
    public static HttpReply error(ResultCode code, String message) {
        return of(code.httpStatus(), ErrorReply.of(code, message));
    }
}
