package org.geraniumusher.operator;

import org.geraniumusher.http.HttpReply;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.platform.Json;

/** Builds replies with JSON bodies. */
final class JsonReply {
    private JsonReply() {}

    static HttpReply ok(Object body) {
        return of(200, body);
    }

    static HttpReply of(int status, Object body) {
        return HttpReply.of(status, Json.write(body) + "\n");
    }

    static HttpReply error(ResultCode code, String message) {
        return of(code.httpStatus(), ErrorReply.of(code, message));
    }
}
