package org.geraniumusher.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.quarantine.CrashDetector;
import org.geraniumusher.quarantine.CrashSuspect;
import org.geraniumusher.quarantine.Quarantine;
import org.geraniumusher.quarantine.RequestFingerprint;
import org.geraniumusher.traffic.ServerEntry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Watches the requests that this daemon sends for servers that crash under them, and tells which
 * requests must not be sent because they are quarantined. Confined to the event loop.
 *
 * <p>Load pattern: a request crashes each server that runs it, and its caller sends it again and
 * again at all daemons.
 */
final class CrashMonitor {
    /** Crashes under a request, seen by this daemon, from which the daemon does not retry it. */
    private static final int MAX_CRASHES_RETRIED = 2;

    /**
     * Interval between the first probes of a server whose responses are lost again and again, which
     * may be because it has too many connections.
     */
    private static final long FIRST_PROBE_INTERVAL_NANOS = 300_000_000L;

    private static final double MIN_RETRY_AFTER_SECONDS = 1;

    /**
     * Time after the end of a rejection in which the coordinator changes it. If it does not, the
     * store or the coordinator is away, and the rejection ends here. Covers clocks that differ.
     */
    private static final long END_OVERDUE_MILLIS = 5_000;

    private static final int MAX_LOGGED_SUSPECTS = 16;

    /**
     * Time for which a permitted trial may be sent again if it was not executed. Less than the time
     * after which the coordinator permits another one.
     */
    private static final long TRIAL_NANOS = 2_000_000_000L;

    private final Directory mDirectory;
    private final EventThread mThread;
    private final LongSupplier mClock;
    private final LongSupplier mWallMillis;
    private final DecisionLog mLog;
    private final EntryMetrics mMetrics;
    private final String mKeyHeader;
    private final String mSignatureHeader;
    private final String mNotExecutedHeader;
    private final ConnectProbe mProbe;
    private final CrashReporter mReporter;
    private final ProbationTrials mTrials;
    private final CrashDetector<Exchange> mDetector = CrashDetector.create();

    /** Entries of the incarnations that may have crashed. */
    private final Map<String, ServerEntry> mSuspectedServers = new HashMap<>();

    /** Times of the first probes for the present suspicions of these incarnations. */
    private final Map<String, Long> mProbedAt = new HashMap<>();

    private ImmutableMap<RequestFingerprint, Quarantine> mQuarantines = ImmutableMap.of();

    /** Targets of {@link #mQuarantines}, which a request is compared with before it is hashed. */
    private ImmutableSet<String> mQuarantinedTargets = ImmutableSet.of();

    /**
     * Creates a monitor.
     *
     * @param wallMillis wall clock in milliseconds since 1970
     */
    CrashMonitor(
            DaemonContext context,
            HeaderNames headers,
            LongSupplier wallMillis,
            ConnectProbe probe,
            CrashReporter reporter,
            ProbationTrials trials) {
        mDirectory = context.directory();
        mThread = context.thread();
        mClock = context.clock();
        mLog = context.log();
        mMetrics = context.metrics();
        mWallMillis = wallMillis;
        mKeyHeader = headers.key();
        mSignatureHeader = headers.signature();
        mNotExecutedHeader = headers.notExecuted();
        mProbe = probe;
        mReporter = reporter;
        mTrials = trials;
    }

    /** Returns the time in seconds for which the request is still rejected, if it is. */
    OptionalDouble rejectedForSeconds(Exchange exchange) {
        if (!hasQuarantinedTarget(exchange)) {
            return OptionalDouble.empty();
        }
        Quarantine quarantine = mQuarantines.get(exchange.identity(mKeyHeader).fingerprint());
        if (quarantine == null || quarantine.state() != Quarantine.State.REJECTED) {
            return OptionalDouble.empty();
        }
        long remainingMillis =
                quarantine.sinceMillis() + quarantine.durationMillis() - mWallMillis.getAsLong();
        if (remainingMillis < -END_OVERDUE_MILLIS) {
            return OptionalDouble.empty();
        }
        // The clock of the coordinator, which set the time, may differ from this one.
        double seconds = Math.min(quarantine.durationMillis(), remainingMillis) / 1e3;
        return OptionalDouble.of(Math.max(MIN_RETRY_AFTER_SECONDS, seconds));
    }

    /** Decides whether a request may be sent to a server now; only one on probation may not. */
    ProbationTrials.Decision decideTrial(Exchange exchange) {
        if (!hasQuarantinedTarget(exchange)) {
            return ProbationTrials.Decision.SEND;
        }
        Quarantine quarantine = mQuarantines.get(exchange.identity(mKeyHeader).fingerprint());
        long now = mClock.getAsLong();
        if (quarantine == null
                || quarantine.state() != Quarantine.State.PROBATION
                || exchange.holdsTrial(now)) {
            return ProbationTrials.Decision.SEND;
        }
        ProbationTrials.Decision decision = mTrials.decide(quarantine.fingerprint());
        if (decision == ProbationTrials.Decision.SEND) {
            exchange.setTrialUntilNanos(now + TRIAL_NANOS);
        }
        return decision;
    }

    /** Returns the time in seconds until a copy of a request on probation may be tried. */
    double trialInSeconds(Exchange exchange) {
        return mTrials.rejectedForSeconds(exchange.identity(mKeyHeader).fingerprint())
                .orElse(MIN_RETRY_AFTER_SECONDS);
    }

    private boolean hasQuarantinedTarget(Exchange exchange) {
        return !mQuarantinedTargets.isEmpty()
                && mQuarantinedTargets.contains(
                        RequestIdentity.targetKey(
                                exchange.service(), exchange.identity(mKeyHeader).target()));
    }

    private boolean isSuspectTarget(Exchange exchange) {
        return mReporter.hasTarget(exchange.service(), exchange.identity(mKeyHeader).target());
    }

    /** Reports whether this daemon may retry a request whose connection broke. */
    boolean mayRetry(Exchange exchange) {
        return !isSuspectTarget(exchange)
                || mReporter.crashesUnder(exchange.identity(mKeyHeader).fingerprint())
                        < MAX_CRASHES_RETRIED;
    }

    /** Records a response of a server to a request, which shows that the server is running. */
    void onResponse(Exchange exchange, Upstream upstream, UpstreamResponse response) {
        mDetector.onAnswered(upstream.entry().incarnationId(), mClock.getAsLong());
        boolean completed =
                response.status() < 500
                        && response.header(mSignatureHeader) != null
                        && response.header(mNotExecutedHeader) == null;
        if (!completed) {
            return;
        }
        boolean suspect = isSuspectTarget(exchange);
        if (suspect || hasQuarantinedTarget(exchange)) {
            RequestFingerprint fingerprint = exchange.identity(mKeyHeader).fingerprint();
            if (mReporter.crashesUnder(fingerprint) > 0 || mQuarantines.containsKey(fingerprint)) {
                mReporter.onCompleted(fingerprint);
            }
        }
    }

    /** Records that a request that was sent has no usable response. */
    void onBroken(Exchange exchange, Upstream upstream, ResponseFailure failure) {
        if (failure.limit().isPresent() || upstream.isLeaving()) {
            return;
        }
        ServerEntry server = upstream.entry();
        long now = mClock.getAsLong();
        if (mDetector.onBroken(server.incarnationId(), exchange, now)) {
            mSuspectedServers.put(server.incarnationId(), server);
            mThread.schedule(
                    this::findEndedServers, CrashDetector.MAX_PROOF_NANOS, TimeUnit.NANOSECONDS);
            Long last = mProbedAt.get(server.incarnationId());
            long probeAt = last == null ? now : Math.max(now, last + FIRST_PROBE_INTERVAL_NANOS);
            mProbedAt.put(server.incarnationId(), probeAt);
            mThread.schedule(
                    () -> probe(server, probeAt, CrashDetector.MIN_REFUSALS),
                    probeAt - now,
                    TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Probes the address of a server, unless a later suspicion has probes of its own.
     *
     * @param firstProbeAt time of the first probe for the same suspicion
     */
    private void probe(ServerEntry server, long firstProbeAt, int attempts) {
        if (isCurrent(server, firstProbeAt)) {
            mProbe.open(
                    server.address(),
                    result ->
                            mThread.execute(
                                    () -> onProbed(server, firstProbeAt, attempts, result)));
        }
    }

    private boolean isCurrent(ServerEntry server, long firstProbeAt) {
        Long current = mProbedAt.get(server.incarnationId());
        return current != null && current == firstProbeAt;
    }

    private void onProbed(
            ServerEntry server, long firstProbeAt, int attempts, ConnectProbe.Result result) {
        if (!isCurrent(server, firstProbeAt)) {
            return;
        }
        String incarnationId = server.incarnationId();
        if (result == ConnectProbe.Result.ACCEPTED) {
            if (mDetector.onAccepted(incarnationId, mClock.getAsLong())) {
                probeLater(server, firstProbeAt, CrashDetector.MIN_REFUSALS);
            }
        } else if (result == ConnectProbe.Result.REFUSED && isListedAsRunning(incarnationId)) {
            mDetector.onRefused(incarnationId, mClock.getAsLong()).ifPresent(this::onCrash);
            if (attempts > 1) {
                probeLater(server, firstProbeAt, attempts - 1);
            }
        }
    }

    private void probeLater(ServerEntry server, long firstProbeAt, int attempts) {
        mThread.schedule(
                () -> probe(server, firstProbeAt, attempts),
                CrashDetector.PROBE_INTERVAL_NANOS,
                TimeUnit.NANOSECONDS);
    }

    /**
     * Reports whether the store lists the incarnation as neither leaving nor gone. A server that
     * leaves as planned may refuse connections before its last requests have ended.
     */
    private boolean isListedAsRunning(String incarnationId) {
        ServerEntry listed = mDirectory.servers().get(incarnationId);
        return listed != null
                && !listed.leaving()
                && mDirectory.mirror(StoreKind.SERVERS).isReachable()
                && !mDirectory.isSoonAfterRestore();
    }

    /** Brings the quarantines up to date and looks for servers that have started again. */
    void onDirectoryChange() {
        ImmutableMap<RequestFingerprint, Quarantine> quarantines = mDirectory.quarantines();
        if (quarantines != mQuarantines) {
            mQuarantines.keySet().stream()
                    .filter(f -> !quarantines.containsKey(f))
                    .forEach(mReporter::forget);
            mTrials.retain(quarantines.keySet());
            mQuarantines = quarantines;
            mQuarantinedTargets =
                    quarantines.values().stream()
                            .map(q -> RequestIdentity.targetKey(q.service(), q.target()))
                            .collect(ImmutableSet.toImmutableSet());
        }
        if (!mSuspectedServers.isEmpty()) {
            findEndedServers();
        }
    }

    private void findEndedServers() {
        ImmutableList<String> suspicions = mDetector.suspicions(mClock.getAsLong());
        mSuspectedServers.keySet().retainAll(suspicions);
        mProbedAt.keySet().retainAll(suspicions);
        for (ServerEntry server : List.copyOf(mSuspectedServers.values())) {
            ServerEntry listed = mDirectory.servers().get(server.incarnationId());
            if (listed != null && listed.leaving()) {
                mDetector.onLeft(server.incarnationId());
            } else if (hasSuccessor(server)) {
                mDetector.onSuperseded(server.incarnationId()).ifPresent(this::onCrash);
            }
        }
    }

    /**
     * Returns whether a later server uses the ID or the address of this one. The entry of a service
     * that no configuration names comes from another writer and shows nothing.
     */
    private boolean hasSuccessor(ServerEntry server) {
        return mDirectory.servers().values().stream()
                .anyMatch(
                        e ->
                                e.startMillis() > server.startMillis()
                                        && mDirectory.isServiceConfigured(e.service())
                                        && (e.id().equals(server.id())
                                                || e.address().equals(server.address())));
    }

    private void onCrash(CrashDetector.Crash<Exchange> crash) {
        mSuspectedServers.remove(crash.incarnationId());
        ImmutableList<CrashSuspect> suspects =
                crash.suspects().stream()
                        .map(this::toSuspect)
                        .distinct()
                        .collect(ImmutableList.toImmutableList());
        mMetrics.onCrash();
        mLog.write(
                Part.SERVER,
                "Server crashed while it ran requests",
                "server",
                crash.incarnationId(),
                "suspects",
                suspects.size() + crash.omittedSuspects(),
                "requests",
                suspects.stream()
                        .limit(MAX_LOGGED_SUSPECTS)
                        .map(CrashSuspect::fingerprint)
                        .toList(),
                "ids",
                crash.suspects().stream().limit(MAX_LOGGED_SUSPECTS).map(Exchange::id).toList());
        mReporter.onCrash(crash.incarnationId(), suspects);
    }

    private CrashSuspect toSuspect(Exchange exchange) {
        RequestIdentity identity = exchange.identity(mKeyHeader);
        return new CrashSuspect(identity.fingerprint(), exchange.service(), identity.target());
    }
}
