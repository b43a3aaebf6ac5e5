package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.handler.codec.http.HttpResponse;

import java.util.List;

/**
 * Tells to which request the responses on one connection belong, by the IDs that they carry.
 * Confined to the event loop.
 *
 * <p>Invariant: a response is {@link Match#OWN} only if it carries the ID of the request in flight,
 * no other one, and contradicts no earlier response that may be that to the request. A response
 * without an ID may be: what follows it with the ID is then a second one.
 */
final class ResponseMatcher {
    private final HeaderNames mHeaders;
    private String mRequestId = "";

    /** Status of a response without an ID to the request in flight, or 0 if there was none. */
    private int mUnidentifiedStatus;

    /** What a response is to the request in flight. */
    enum Match {
        /** The response to it. */
        OWN(""),
        /** One to another request, which that to the request in flight may follow. */
        OTHER(""),
        SEVERAL_IDS("response with several IDs"),
        FAILURE_WITHOUT_ID("failure without an ID"),
        CONTRADICTION("response contradicts one without an ID");

        private final String mAmbiguity;

        Match(String ambiguity) {
            mAmbiguity = ambiguity;
        }

        /**
         * Returns why neither this response nor a later one can be used, or an empty text if one
         * can.
         */
        String ambiguity() {
            return mAmbiguity;
        }
    }

    ResponseMatcher(HeaderNames headers) {
        mHeaders = checkNotNull(headers);
    }

    /** Starts anew, for the responses to a request that is about to be sent. */
    void onRequest(String id) {
        mRequestId = checkNotNull(id);
        mUnidentifiedStatus = 0;
    }

    /** Returns the ID of the request in flight. */
    String requestId() {
        return mRequestId;
    }

    /** Returns whether a response carries the ID of the request in flight first. */
    boolean hasOwnId(HttpResponse response) {
        return idOf(response).equals(mRequestId);
    }

    /** Returns the first ID that a response carries, or an empty text if it carries none. */
    String idOf(HttpResponse response) {
        return response.headers().get(mHeaders.requestId(), "");
    }

    /** Records a response and returns what it is. */
    Match match(HttpResponse response) {
        List<String> ids = response.headers().getAll(mHeaders.requestId());
        if (ids.stream().distinct().count() > 1) {
            return Match.SEVERAL_IDS;
        }
        if (idOf(response).isBlank()) {
            return matchWithoutId(response);
        }
        if (!hasOwnId(response)) {
            return Match.OTHER;
        }
        boolean isConsistent =
                mUnidentifiedStatus == 0 || mUnidentifiedStatus == response.status().code();
        return isConsistent ? Match.OWN : Match.CONTRADICTION;
    }

    private Match matchWithoutId(HttpResponse response) {
        if (response.headers().contains(mHeaders.notExecuted())) {
            // A request that was refused has no other response, so one that follows is its own.
            return Match.OTHER;
        }
        mUnidentifiedStatus = response.status().code();
        return mUnidentifiedStatus >= 500 ? Match.FAILURE_WITHOUT_ID : Match.OTHER;
    }
}
