package org.geraniumusher.peer;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import com.codahale.metrics.MetricRegistry;
import com.google.common.net.InetAddresses;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;

import org.geraniumusher.burn.BurnSummary;
import org.geraniumusher.dissemination.SyncMessage;
import org.geraniumusher.dissemination.Versions;
import org.geraniumusher.membership.FailureDetector;
import org.geraniumusher.membership.Member;
import org.geraniumusher.membership.MemberUpdate;
import org.geraniumusher.membership.MembershipMessage;
import org.geraniumusher.model.Address;
import org.geraniumusher.peer.wire.PeerProto.Envelope;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Exchanges messages with other daemons over a UDP and a TCP port of the same number.
 *
 * <p>Datagrams carry probes, authority messages and small deltas; connections carry pulls,
 * snapshots, lists of members and large deltas. Sending never blocks and never fails visibly: what
 * cannot be sent is counted, and the protocols repeat what matters. Thread-safe.
 */
public final class PeerTransport implements AutoCloseable {
    /** Attempts to find a port that is free for both protocols when any port will do. */
    private static final int BIND_ATTEMPTS = 20;

    /** Larger than any datagram accepted, so that a too large one is seen as such. */
    private static final int RECEIVE_BYTES = 2_048;

    private final Channel mDatagrams;
    private final Channel mListener;
    private final StreamSender mStreams;
    private final Receiver mReceiver;
    private final PeerMetrics mMetrics;
    private volatile Member mSelf;
    private volatile Versions mVersions = Versions.none();

    private PeerTransport(
            Channel datagrams,
            Channel listener,
            StreamSender streams,
            Receiver receiver,
            PeerMetrics metrics) {
        mDatagrams = datagrams;
        mListener = listener;
        mStreams = streams;
        mReceiver = receiver;
        mMetrics = metrics;
    }

    /** Binds a host and a port, where 0 means any free port; throws when it cannot. */
    public static PeerTransport bind(
            EventLoopGroup group, String host, int port, MetricRegistry registry) {
        PeerMetrics metrics = new PeerMetrics(registry);
        Receiver receiver = new Receiver(metrics);
        for (int attempt = 1; ; attempt++) {
            Channel datagrams = bindDatagrams(group, host, port, receiver);
            int bound = ((InetSocketAddress) datagrams.localAddress()).getPort();
            ChannelFuture listening = listen(group, host, bound, receiver).awaitUninterruptibly();
            if (listening.isSuccess()) {
                StreamSender streams = new StreamSender(group, metrics);
                return new PeerTransport(
                        datagrams, listening.channel(), streams, receiver, metrics);
            }
            datagrams.close().syncUninterruptibly();
            if (port != 0 || attempt == BIND_ATTEMPTS) {
                throw new IllegalStateException(
                        "cannot listen on " + host + ":" + bound, listening.cause());
            }
        }
    }

    /** Returns the bound address. */
    public Address address() {
        InetSocketAddress local = (InetSocketAddress) mDatagrams.localAddress();
        return new Address(local.getAddress().getHostAddress(), local.getPort());
    }

    /** Starts to send as {@code self} and to deliver to {@code handler}. */
    public void start(Member self, PeerHandler handler) {
        checkState(mSelf == null, "transport of %s was started before", mSelf);
        mSelf = checkNotNull(self);
        mReceiver.start(checkNotNull(handler));
    }

    /** Sets the versions that go with every probe. */
    public void setVersions(Versions versions) {
        mVersions = checkNotNull(versions);
    }

    /** Sends a message of the failure detector. */
    public void send(Address to, MembershipMessage message) {
        Envelope.Builder envelope = MemberCodec.encode(message);
        boolean large =
                message instanceof MembershipMessage.MembersRequest
                        || message instanceof MembershipMessage.MembersReply;
        if (large) {
            sendStream(to, envelope.build().toByteArray());
        } else {
            sendDatagram(to, envelope.setVersions(SyncCodec.encode(mVersions)));
        }
    }

    /** Sends a message of the disseminator. */
    public void send(Member to, SyncMessage message) {
        Envelope.Builder envelope = fromSelf(SyncCodec.encode(message));
        Address address = to.peerAddress();
        if (message instanceof SyncMessage.VersionsRequest
                || message instanceof SyncMessage.VersionsReport) {
            sendDatagram(address, envelope.setVersions(SyncCodec.encode(mVersions)));
        } else if (message instanceof SyncMessage.Pull || message instanceof SyncMessage.Snapshot) {
            sendStream(address, envelope.build().toByteArray());
        } else {
            sendSmallest(address, envelope);
        }
    }

    /** Sends a message about authority or a table; the sender named in it must be this daemon. */
    public void send(Member to, AuthorityMessage message) {
        sendDatagram(to.peerAddress(), fromSelf(PeerCodec.encode(message)));
    }

    /** Sends counts of requests, which may be too large for a datagram. */
    public void send(Member to, BurnSummary summary) {
        sendStream(to.peerAddress(), fromSelf(PeerCodec.encode(summary)).build().toByteArray());
    }

    /** Reports whether no frame waits to be written to a connection. */
    public boolean isFlushed() {
        return mStreams.isFlushed();
    }

    /** Closes the ports and all connections. The selector frees the ports a moment later. */
    @Override
    public void close() {
        mStreams.close();
        mListener.close().syncUninterruptibly();
        mDatagrams.close().syncUninterruptibly();
    }

    private Envelope.Builder fromSelf(Envelope.Builder envelope) {
        checkState(mSelf != null, "transport was not started");
        return envelope.setSender(MemberCodec.encode(MemberUpdate.of(mSelf)));
    }

    private void sendSmallest(Address to, Envelope.Builder envelope) {
        byte[] bytes = envelope.build().toByteArray();
        if (bytes.length <= FailureDetector.MAX_DATAGRAM_BYTES) {
            resolve(to).ifPresent(address -> sendDatagram(address, bytes));
        } else {
            sendStream(to, bytes);
        }
    }

    private void sendDatagram(Address to, Envelope.Builder envelope) {
        byte[] bytes = envelope.build().toByteArray();
        if (bytes.length > FailureDetector.MAX_DATAGRAM_BYTES) {
            mMetrics.onOversized();
        } else {
            resolve(to).ifPresent(address -> sendDatagram(address, bytes));
        }
    }

    private void sendDatagram(InetSocketAddress to, byte[] bytes) {
        mDatagrams
                .writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to))
                .addListener(
                        written -> {
                            if (written.isSuccess()) {
                                mMetrics.onSent(bytes.length);
                            } else {
                                mMetrics.onSendFailed();
                            }
                        });
    }

    private void sendStream(Address to, byte[] bytes) {
        if (bytes.length > Receiver.MAX_FRAME_BYTES) {
            mMetrics.onOversized();
        } else {
            resolve(to).ifPresent(address -> mStreams.send(address, bytes));
        }
    }

    /** Returns the socket address; a host that is not an IP number counts as a failed send. */
    private Optional<InetSocketAddress> resolve(Address address) {
        try {
            return Optional.of(
                    new InetSocketAddress(
                            InetAddresses.forUriString(address.host()), address.port()));
        } catch (IllegalArgumentException e) {
            mMetrics.onSendFailed();
            return Optional.empty();
        }
    }

    private static Channel bindDatagrams(
            EventLoopGroup group, String host, int port, Receiver receiver) {
        return new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(RECEIVE_BYTES))
                .handler(receiver.datagramHandler())
                .bind(host, port)
                .syncUninterruptibly()
                .channel();
    }

    private static ChannelFuture listen(
            EventLoopGroup group, String host, int port, Receiver receiver) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(receiver.connectionInitializer())
                .bind(host, port);
    }
}
