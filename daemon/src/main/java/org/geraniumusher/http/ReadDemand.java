package org.geraniumusher.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.Channel;

/**
 * Asks a channel without automatic reads, behind a {@code FlowControlHandler}, for one message at a
 * time.
 *
 * <p>A read is a task of its own, because a read that is made while a message is delivered may be
 * lost. FlowControlHandler drops an unanswered read when a read of the socket completes, which
 * happens whenever a message is larger than the receive buffer, so the read is made again then.
 * Confined to the event loop of the channel.
 */
public final class ReadDemand {
    private final Channel mChannel;
    private boolean mWanted;
    private boolean mScheduled;

    private ReadDemand(Channel channel) {
        mChannel = checkNotNull(channel);
    }

    /** Returns a demand for no message. */
    public static ReadDemand create(Channel channel) {
        return new ReadDemand(channel);
    }

    /** Asks for the next message, at most once until it comes. */
    public void request() {
        mWanted = true;
        schedule();
    }

    /** Notes that a message has come. */
    public void onMessage() {
        mWanted = false;
    }

    /** Asks again when the read of the socket that has completed brought no whole message. */
    public void onReadComplete() {
        if (mWanted) {
            schedule();
        }
    }

    private void schedule() {
        if (!mScheduled) {
            mScheduled = true;
            mChannel.eventLoop().execute(this::read);
        }
    }

    private void read() {
        mScheduled = false;
        if (mWanted) {
            mChannel.read();
        }
    }
}
