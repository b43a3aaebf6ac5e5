package org.geraniumusher.entry;

import com.google.common.primitives.Ints;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.concurrent.GlobalEventExecutor;

import org.geraniumusher.http.OtherProtocol;
import org.geraniumusher.http.RequestAggregator;
import org.geraniumusher.http.StrictRequestDecoder;
import org.geraniumusher.http.TcpListener;
import org.geraniumusher.model.Address;
import org.geraniumusher.traffic.BodyBudget;
import org.geraniumusher.traffic.RouterConfig;
import org.geraniumusher.traffic.TrafficLimits;

import java.util.function.LongSupplier;

/**
 * Accepts connections of callers. Confined to the event loop, except for the constructor and {@link
 * #close}, which block and must not be called on it.
 */
final class CallerEndpoint implements AutoCloseable {
    private static final int MAX_INITIAL_LINE_BYTES = 8_192;

    /**
     * Idle time after which connections are closed while the daemon stops. A response that has left
     * this process is received within it: a request that arrives after a close resets the
     * connection, which would drop the rest of the response.
     */
    private static final long STOPPING_IDLE_NANOS = 1_000_000_000L;

    /**
     * Least idle time after which connections of peers are closed. It is longer than peers reuse
     * them, whatever the configuration says of callers.
     */
    private static final long MIN_PEER_IDLE_NANOS = 10_000_000_000L;

    /** Limit of the reads of a connection in a row, so that no caller holds up the others. */
    private static final int MAX_READS_IN_PASS = 16;

    /** Part of the heap, as a divisor, for the bodies of requests. */
    private static final int BODY_HEAP_DIVISOR = 3;

    private final Dispatcher mDispatcher;
    private final Directory mDirectory;
    private final WireFormat mWire;
    private final RequestIds mRequestIds;
    private final LongSupplier mClock;
    private final EntryMetrics mMetrics;
    private final DecisionLog mLog;
    private final TcpListener mListener;

    /** Makes channels read until nothing is left, so that a close behind a request is seen. */
    private final RecvByteBufAllocator mReadUntilEmpty =
            new AdaptiveRecvByteBufAllocator()
                    .respectMaybeMoreData(false)
                    .maxMessagesPerRead(MAX_READS_IN_PASS);

    private final ChannelGroup mConnections =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final BodyBudget mBodies =
            new BodyBudget(Runtime.getRuntime().maxMemory() / BODY_HEAP_DIVISOR);
    private boolean mStopping;
    private boolean mClosingIdle;

    CallerEndpoint(
            DaemonContext context, Dispatcher dispatcher, WireFormat wire, EventLoopGroup group) {
        mDispatcher = dispatcher;
        mDirectory = context.directory();
        mWire = wire;
        mRequestIds = RequestIds.create(context.settings().name(), context.incarnation());
        mClock = context.clock();
        mMetrics = context.metrics();
        mLog = context.log();
        mMetrics.registerGauge(
                "requests.body_bytes", () -> Ints.saturatedCast(mBodies.reservedBytes()));
        Address address = context.settings().callerAddress();
        mListener =
                TcpListener.bind(
                        group,
                        address.host(),
                        address.port(),
                        true,
                        this::initPipeline,
                        AcceptFailures.listener(mLog, mMetrics, "callers"));
    }

    private TrafficLimits limits() {
        return mDirectory.configuration().map(RouterConfig::limits).orElse(TrafficLimits.DEFAULT);
    }

    private void initPipeline(SocketChannel channel) {
        channel.config().setRecvByteBufAllocator(mReadUntilEmpty);
        addHandlers(channel, RequestSource.CALLER);
    }

    /** Returns the protocol in which peers pass on requests, on the port for calls of peers. */
    OtherProtocol forwardedRequests() {
        return new OtherProtocol() {
            @Override
            public byte[] preface() {
                return PeerForwarder.PREFACE.clone();
            }

            @Override
            public void configure(SocketChannel channel) {
                channel.config().setRecvByteBufAllocator(mReadUntilEmpty);
            }

            @Override
            public void initialize(SocketChannel channel) {
                addHandlers(channel, RequestSource.PEER);
            }
        };
    }

    private void addHandlers(SocketChannel channel, RequestSource source) {
        mConnections.add(channel);
        channel.pipeline()
                .addLast(
                        new StrictRequestDecoder(MAX_INITIAL_LINE_BYTES, limits().maxHeaderBytes()))
                .addLast(new HttpResponseEncoder())
                .addLast(new RequestAggregator(() -> limits().maxBodyBytes(), mBodies))
                .addLast(
                        new CallerConnection(
                                source,
                                mDispatcher,
                                mWire.headers(),
                                mRequestIds,
                                mClock,
                                () -> mStopping,
                                mMetrics,
                                mLog));
    }

    /**
     * Starts to close the connections: from now on, a response that leaves no request of its
     * connection pending closes it.
     */
    void beginStop() {
        mStopping = true;
    }

    /**
     * Starts to close connections soon after their last request. Until then, callers that go on
     * using a connection learn from the next response that it closes.
     */
    void beginClosingIdle() {
        mClosingIdle = true;
    }

    /**
     * Closes connections that have been idle for the configured time, or for {@link
     * #STOPPING_IDLE_NANOS} after {@link #beginClosingIdle}. Also closes those whose caller has
     * received nothing of a response for the configured time.
     */
    void closeIdle(long nowNanos) {
        long idleNanos = mClosingIdle ? STOPPING_IDLE_NANOS : limits().idleTimeoutNanos();
        CallerConnection.CloseCause cause =
                mClosingIdle ? CallerConnection.CloseCause.STOP : CallerConnection.CloseCause.IDLE;
        long stalledNanos = limits().idleTimeoutNanos();
        mConnections.forEach(
                channel -> {
                    CallerConnection connection = channel.pipeline().get(CallerConnection.class);
                    if (connection == null) {
                        return;
                    }
                    boolean keepsLonger =
                            connection.source() == RequestSource.PEER && !mClosingIdle;
                    long ownIdleNanos =
                            keepsLonger ? Math.max(MIN_PEER_IDLE_NANOS, idleNanos) : idleNanos;
                    if (connection.isIdleFor(ownIdleNanos, nowNanos)) {
                        connection.close(channel, cause);
                    } else if (connection.isStalledFor(channel, stalledNanos, nowNanos)) {
                        connection.close(channel, CallerConnection.CloseCause.STALLED);
                    }
                });
    }

    /** Returns the number of open connections. */
    int connectionCount() {
        return mConnections.size();
    }

    @Override
    public void close() {
        mListener.close();
    }
}
