package org.geraniumusher.entry;

import io.netty.handler.codec.http.FullHttpRequest;

/**
 * A request that is to be sent to a backend server once a connection can carry it, which takes time
 * if it has to be opened first. Confined to the event loop.
 */
interface OutgoingRequest {
    /** Returns the ID of the request, which is not blank. */
    String id();

    /** Returns whether the request may still be sent to the server that was chosen for it. */
    boolean maySend();

    /** Returns the request as it is to be written now. The caller releases it. */
    FullHttpRequest build();
}
