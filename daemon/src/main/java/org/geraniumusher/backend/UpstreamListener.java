package org.geraniumusher.backend;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the events of one use of a connection, all on its event loop. */
public interface UpstreamListener {
    /** Is called when a connection is ready to be written to. */
    void onConnected(UpstreamConnection connection);

    /** Is called when no connection could be opened; nothing was sent. */
    void onConnectFailed(Throwable cause);

    /** Is called with the head of the response. */
    void onHead(HttpResponse response);

    /** Is called with a part of the body, which the listener must release. */
    void onContent(HttpContent content);

    /** Is called when the connection broke after {@link #onConnected}. */
    void onBroken(Throwable cause);
}
