package org.geraniumusher.http;

/** What an {@link HttpClient} may rely on at its peers. Immutable. */
public enum PeerKind {
    /** A daemon or the store: sends one reply to each call. */
    ONE_REPLY_PER_CALL {
        @Override
        boolean isReusableAfter(int status) {
            return true;
        }
    },

    /**
     * A backend server: may send a reply a second time, in place of the one to the next call of the
     * connection, and replies bear no ID that would tell. A connection is reused only after status
     * 200, so that a refusal is never that of an earlier call. A call for which status 200 proves
     * something needs {@link HttpClient#callOnNewConnection a new connection}.
     */
    MAY_REPEAT_REPLIES {
        @Override
        boolean isReusableAfter(int status) {
            return status == 200;
        }
    };

    /** Returns whether a connection may carry another call after a reply with this status. */
    abstract boolean isReusableAfter(int status);
}
