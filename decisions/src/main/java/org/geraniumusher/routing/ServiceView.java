package org.geraniumusher.routing;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.admission.GateLoad;
import org.geraniumusher.choice.ChoiceStrategy;
import org.geraniumusher.choice.ServerChooser;
import org.geraniumusher.choice.ServerView;
import org.geraniumusher.choice.StragglerDetector;
import org.geraniumusher.model.BackendServer;
import org.geraniumusher.retry.RetryBudget;
import org.geraniumusher.retry.RetryMode;
import org.geraniumusher.retry.RetryPolicy;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/** Holds what this daemon, as the entry of requests, knows of one service. Not thread-safe. */
final class ServiceView {
    private final ServerChooser mChooser;
    private final RetryPolicy mRetries = RetryPolicy.create(RetryMode.BUDGET, RetryBudget.create());
    private final StragglerDetector mStragglers = StragglerDetector.create();
    private final Map<String, ServerView> mViews = new HashMap<>();
    private ImmutableList<ServerView> mCandidates = ImmutableList.of();
    private ImmutableList<BackendServer> mServerList = ImmutableList.of();
    private Map<String, BackendServer> mServers = Map.of();
    private long mNextEvaluationNanos;

    ServiceView(ChoiceStrategy strategy, SplittableRandom random) {
        mChooser = ServerChooser.create(strategy, random);
    }

    /** Replaces the servers; those that stay keep their state. */
    void setServers(ImmutableList<BackendServer> servers) {
        if (servers.equals(mServerList)) {
            return;
        }
        mServerList = servers;
        Map<String, BackendServer> byName = new HashMap<>();
        ImmutableList.Builder<ServerView> candidates = ImmutableList.builder();
        for (BackendServer server : servers) {
            byName.put(server.name(), server);
            candidates.add(
                    mViews.computeIfAbsent(
                            server.name(),
                            name -> ServerView.create(name, server.slots(), server.coldSlots())));
        }
        mServers = byName;
        mCandidates = candidates.build();
        mStragglers.setServers(ImmutableList.copyOf(byName.keySet()));
    }

    /** Chooses a server, another one than that of the last attempt where there is one. */
    Optional<BackendServer> choose(long nowNanos, String lastServer, boolean idempotent) {
        ImmutableList<ServerView> others =
                mCandidates.stream()
                        .filter(view -> !view.name().equals(lastServer))
                        .collect(ImmutableList.toImmutableList());
        return mChooser.choose(others.isEmpty() ? mCandidates : others, idempotent, nowNanos)
                .map(view -> mServers.get(view.name()));
    }

    RetryPolicy retries() {
        return mRetries;
    }

    void sent(long nowNanos, long id, String server) {
        ServerView view = mViews.get(server);
        if (view != null) {
            view.sent(nowNanos);
            mStragglers.started(server, id, nowNanos);
        }
    }

    void answered(
            long nowNanos,
            long id,
            String server,
            long latencyNanos,
            Optional<GatewayReport> report) {
        ServerView view = mViews.get(server);
        if (view == null) {
            return;
        }
        if (report.isPresent()) {
            GateLoad load = report.get().load();
            mStragglers.answered(server, id, report.get().serviceNanos(), load.queued());
            view.answered(latencyNanos, load, nowNanos);
        } else {
            mStragglers.refused(server, id);
            view.ended(latencyNanos, nowNanos);
        }
    }

    /** Takes the end of an attempt that never ran. */
    void refused(long nowNanos, long id, String server, long sentNanos) {
        ServerView view = mViews.get(server);
        if (view != null) {
            view.ended(Math.max(0, nowNanos - sentNanos), nowNanos);
            mStragglers.refused(server, id);
        }
    }

    /** Takes the end of an attempt whose answer is not awaited any more. */
    void cancelled(long nowNanos, long id, String server, long sentNanos) {
        ServerView view = mViews.get(server);
        if (view != null) {
            view.cancelled(Math.max(0, nowNanos - sentNanos), nowNanos);
            mStragglers.cancelled(server, id, nowNanos);
        }
    }

    void tick(long nowNanos) {
        if (nowNanos - mNextEvaluationNanos >= 0) {
            mNextEvaluationNanos = nowNanos + StragglerDetector.EVALUATION_NANOS;
            mStragglers.evaluate(nowNanos);
            mChooser.reweigh(mCandidates, mStragglers::weight);
        }
    }
}
