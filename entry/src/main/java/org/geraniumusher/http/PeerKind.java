package org.geraniumusher.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;

/** What an {@link HttpClient} may rely on at its peers. Immutable. */
public enum PeerKind {
    /** Sends one reply to each call, and a call may be carried out after it was given up. */
    DAEMON_OR_STORE {
        @Override
        boolean isReusableAfter(int status) {
            return true;
        }

        @Override
        void giveUp(Channel channel) {
            channel.close();
        }
    },

    /**
     * May send a reply a second time, in place of the one to the next call of the connection, and
     * replies bear no ID that would tell. A connection is reused only after status 200, so that a
     * refusal is never that of an earlier call. A call for which status 200 proves something is
     * sent with {@link HttpClient#callOnNewConnection}.
     *
     * <p>A call that was given up must not be carried out later. Its connection is reset, since the
     * kernel goes on delivering what was sent on one that is closed in order.
     */
    BACKEND_SERVER {
        @Override
        boolean isReusableAfter(int status) {
            return status == 200;
        }

        @Override
        void giveUp(Channel channel) {
            if (channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            channel.close();
        }
    };

    /** Returns whether a connection may carry another call after a reply with this status. */
    abstract boolean isReusableAfter(int status);

    /** Closes a connection whose call has failed. To be called on its event loop. */
    abstract void giveUp(Channel channel);
}
