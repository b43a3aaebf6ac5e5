package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.dispatch.ServerReach;
import org.geraniumusher.entry.DecisionLog.Part;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

/**
 * Watches whether servers answer this daemon, and lets single requests try them while none does.
 * Confined to the event loop.
 *
 * <p>Invariant: while the daemon is stranded, a request tries the servers only after one of them
 * has accepted a connection, so that trials cost callers little while connections fail.
 */
final class ReachMonitor {
    private static final long CHECK_INTERVAL_MILLIS = 200;

    /** Interval between the connections that are tried while no server answers. */
    private static final long PROBE_INTERVAL_MILLIS = 600;

    /**
     * Time for which a trial is left to idempotent requests, which can be passed on to a peer when
     * it gets no answer.
     */
    private static final long IDEMPOTENT_ONLY_NANOS = 5_000_000_000L;

    private final DaemonContext mContext;
    private final UpstreamSet mUpstreams;
    private final ConnectProbe mProbe;
    private final Random mRandom;
    private final BooleanSupplier mHasRequests;
    private final IntSupplier mSilentServers;
    private final Runnable mOnStranded;
    private final ServerReach mReach;
    private boolean mCheckScheduled;
    private boolean mTrialOffered;
    private long mTrialOfferedAtNanos;

    /**
     * Creates a monitor.
     *
     * @param hasRequests returns whether requests are in progress
     * @param silentServers returns the number of servers that have owed an answer for too long
     * @param onStranded called when the daemon begins to count as stranded
     */
    ReachMonitor(
            DaemonContext context,
            UpstreamSet upstreams,
            ConnectProbe probe,
            Random random,
            BooleanSupplier hasRequests,
            IntSupplier silentServers,
            Runnable onStranded) {
        mContext = checkNotNull(context);
        mUpstreams = checkNotNull(upstreams);
        mProbe = probe;
        mRandom = checkNotNull(random);
        mHasRequests = checkNotNull(hasRequests);
        mSilentServers = checkNotNull(silentServers);
        mOnStranded = checkNotNull(onStranded);
        mReach = new ServerReach(now());
        context.metrics().registerGauge("servers.unreached", () -> mReach.isStranded() ? 1 : 0);
    }

    private long now() {
        return mContext.clock().getAsLong();
    }

    /** Returns whether no server answers this daemon. */
    boolean isStranded() {
        return mReach.isStranded();
    }

    /** Makes sure that requests in flight are looked at. */
    void onSent() {
        if (!mCheckScheduled) {
            mCheckScheduled = true;
            mContext.thread()
                    .schedule(
                            () -> {
                                mCheckScheduled = false;
                                check();
                                if (mHasRequests.getAsBoolean()) {
                                    onSent();
                                }
                            },
                            CHECK_INTERVAL_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Records that a server answered, whatever it said. */
    void onAnswer() {
        if (mReach.onAnswer(now())) {
            mTrialOffered = false;
            mUpstreams.all().forEach(u -> u.load().endSuspicion());
            mContext.log().write(Part.SERVER, "Servers answer this daemon again");
        }
    }

    /** Records that a connection to a server could not be opened, or broke without an answer. */
    void onFailure(Upstream upstream) {
        mReach.onFailure(upstream.entry().incarnationId());
        check();
    }

    /** Records that the deadline of a request passed before its server answered. */
    void onDeadline(Upstream upstream) {
        mReach.onDeadline(upstream.entry().incarnationId());
        check();
    }

    private void check() {
        long now = now();
        int servers = (int) mUpstreams.all().stream().filter(u -> !u.isLeaving()).count();
        int silent = mSilentServers.getAsInt();
        if (!mReach.update(servers, silent, now)) {
            return;
        }
        mContext.metrics().onStranded();
        mContext.log()
                .write(
                        Part.SERVER,
                        "No server answers this daemon, passing requests on to peers",
                        "failing",
                        mReach.failingServers(),
                        "silent",
                        silent,
                        "servers",
                        servers,
                        "last_answer_ms",
                        TimeUnit.NANOSECONDS.toMillis(now - mReach.lastAnswerNanos()));
        probe();
        mOnStranded.run();
    }

    private void probe() {
        List<Upstream> upstreams = mUpstreams.all().stream().filter(u -> !u.isLeaving()).toList();
        if (!mReach.isStranded()) {
            return;
        }
        if (!upstreams.isEmpty()) {
            Upstream upstream = upstreams.get(mRandom.nextInt(upstreams.size()));
            mProbe.open(
                    upstream.entry().address(),
                    result -> mContext.thread().execute(() -> onProbed(result)));
        }
        mContext.thread().schedule(this::probe, PROBE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void onProbed(ConnectProbe.Result result) {
        if (result == ConnectProbe.Result.ACCEPTED && mReach.isStranded() && !mTrialOffered) {
            mTrialOffered = true;
            mTrialOfferedAtNanos = now();
        }
    }

    /** Returns whether a trial is due that the request may make. */
    boolean isTrialDue(Exchange exchange) {
        return mTrialOffered
                && (exchange.route().kind().mayRepeat()
                        || now() - mTrialOfferedAtNanos > IDEMPOTENT_ONLY_NANOS);
    }

    /** Records that a request makes the trial that is due. */
    void takeTrial() {
        mTrialOffered = false;
    }
}
