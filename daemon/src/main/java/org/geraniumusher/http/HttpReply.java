package org.geraniumusher.http;

import static com.google.common.base.Preconditions.checkNotNull;

import java.nio.charset.StandardCharsets;

/** Holds a whole response of a control call. The body is not copied: treat it as read-only. */
public record HttpReply(int status, byte[] body) {
    /** Refuses a null body. */
    public HttpReply {
        checkNotNull(body);
    }

    /** Returns a reply with a JSON or plain text body in UTF-8. */
    public static HttpReply of(int status, String body) {
        return new HttpReply(status, body.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the body as UTF-8 text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Reports whether the status is 2xx. */
    public boolean isOk() {
        return status / 100 == 2;
    }
}
