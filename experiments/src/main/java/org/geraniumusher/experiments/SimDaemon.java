package org.geraniumusher.experiments;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.admission.GateLoad;
import org.geraniumusher.choice.ServerChooser;
import org.geraniumusher.choice.ServerView;
import org.geraniumusher.choice.StragglerDetector;
import org.geraniumusher.experiments.Call.Copy;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.retry.Attempt;
import org.geraniumusher.retry.Failure;
import org.geraniumusher.retry.HedgePolicy;
import org.geraniumusher.retry.RetryBudget;
import org.geraniumusher.retry.RetryPolicy;
import org.geraniumusher.retry.RetryVerdict;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;

/** Models the request path of one daemon for one service. Not thread-safe. */
final class SimDaemon {
    private static final long LOCAL_NANOS = 100_000;

    private final ClusterRun mRun;
    private final EventQueue mEvents;
    private final Policy mPolicy;
    private final int mIndex;
    private final int mDataCentre;
    private final List<ServerView> mViews = new ArrayList<>();
    private final boolean[] mServing;
    private final ServerChooser mChooser;
    private final StragglerDetector mDetector = StragglerDetector.create();
    private final RetryPolicy mRetries;
    private final HedgePolicy mHedges;
    private ImmutableList<ServerView> mCandidates = ImmutableList.of();

    SimDaemon(ClusterRun run, int index, Policy policy, SplittableRandom random) {
        mRun = run;
        mEvents = run.events();
        mPolicy = policy;
        mIndex = index;
        mDataCentre = index % run.deployment().dataCentres();
        mChooser = ServerChooser.create(policy.choice(), random);
        RetryBudget budget = RetryBudget.create();
        mRetries = RetryPolicy.create(policy.retry(), budget);
        mHedges = HedgePolicy.create(policy.retry(), budget, mEvents.nowNanos());
        mServing = new boolean[run.size().servers()];
        for (int i = 0; i < mServing.length; i++) {
            mViews.add(
                    ServerView.create(
                            Integer.toString(i), FakeServer.SLOTS, FakeServer.COLD_SLOTS));
            mServing[i] = true;
        }
        updateCandidates();
        if (policy.handlesStragglers()) {
            mEvents.every(StragglerDetector.EVALUATION_NANOS, this::evaluate);
        }
    }

    long hopNanos(int dataCentre) {
        return dataCentre == mDataCentre ? LOCAL_NANOS : mRun.deployment().hopNanos();
    }

    void setServing(int server, boolean serving) {
        mServing[server] = serving;
        updateCandidates();
    }

    void reportLoad(int server, double load) {
        mViews.get(server).reported(load, mEvents.nowNanos());
    }

    void handle(Call call) {
        mRetries.requestArrived();
        mEvents.at(call.deadlineNanos(), () -> expire(call));
        send(call);
        OptionalLong delay = mHedges.delayNanos(call.idempotent());
        if (delay.isPresent() && !mRun.size().keyed()) {
            mEvents.after(delay.getAsLong(), () -> hedge(call));
        }
    }

    void answered(Copy copy, long serviceNanos, GateLoad load) {
        if (!copy.isOpen()) {
            return;
        }
        copy.close();
        long now = mEvents.nowNanos();
        mViews.get(copy.server()).answered(now - copy.sentNanos(), load, now);
        mDetector.answered(name(copy), copy.id(), serviceNanos, load.queued());
        Call call = copy.call();
        long handled = call.arrivalNanos() + mRun.deployment().clientNanos();
        mHedges.answered(now - handled, now);
        complete(call, ResultCode.OK);
    }

    void refused(Copy copy, Failure failure, GateLoad load) {
        if (!copy.isOpen()) {
            return;
        }
        copy.close();
        long now = mEvents.nowNanos();
        mViews.get(copy.server()).refused(now - copy.sentNanos(), load, now);
        mDetector.refused(name(copy), copy.id());
        failed(copy.call(), failure);
    }

    void lost(Copy copy) {
        if (!copy.isOpen()) {
            return;
        }
        copy.close();
        long now = mEvents.nowNanos();
        mViews.get(copy.server()).ended(now - copy.sentNanos(), now);
        mDetector.refused(name(copy), copy.id());
        failed(copy.call(), Failure.CONNECTION_LOST);
        copy.call().noteMayHaveRun();
    }

    private void send(Call call) {
        Optional<ServerView> chosen = choose(call);
        if (chosen.isEmpty()) {
            complete(call, ResultCode.NO_BACKEND_SERVER);
            return;
        }
        int server = Integer.parseInt(chosen.get().name());
        Copy copy = new Copy(mRun.nextId(), call, server, this, mEvents.nowNanos());
        call.copies().add(copy);
        mRun.results().sent(call);
        chosen.get().sent(mEvents.nowNanos());
        mDetector.started(name(copy), copy.id(), mEvents.nowNanos());
        SimGateway gateway = mRun.gateway(server);
        mEvents.after(hopNanos(gateway.dataCentre()), () -> gateway.submit(copy));
    }

    private Optional<ServerView> choose(Call call) {
        if (mRun.size().keyed()) {
            return Optional.of(mViews.get(mRun.ownerOf(call.slice())));
        }
        List<ServerView> candidates = mCandidates;
        if (!call.copies().isEmpty() && candidates.size() > 1) {
            int last = call.copies().get(call.copies().size() - 1).server();
            candidates = new ArrayList<>(candidates);
            candidates.remove(mViews.get(last));
        }
        return mChooser.choose(candidates, call.idempotent(), mEvents.nowNanos());
    }

    private void hedge(Call call) {
        boolean due = !call.isDone() && call.copies().size() == 1 && call.hasOpenCopy();
        if (due && mHedges.permits(mChooser.utilisation(mCandidates, mEvents.nowNanos()))) {
            send(call);
        }
    }

    private void failed(Call call, Failure failure) {
        if (call.isDone() || call.hasOpenCopy()) {
            return;
        }
        Attempt attempt =
                new Attempt(
                        call.idempotent(),
                        call.copies().size(),
                        call.mayHaveRun(),
                        call.deadlineNanos());
        RetryVerdict verdict = mRetries.failed(attempt, failure, mEvents.nowNanos());
        if (verdict instanceof RetryVerdict.Resend resend) {
            mEvents.after(resend.delayNanos(), () -> resend(call));
        } else if (verdict instanceof RetryVerdict.GiveUp giveUp) {
            complete(call, giveUp.code());
        }
    }

    private void resend(Call call) {
        if (!call.isDone()) {
            send(call);
        }
    }

    private void expire(Call call) {
        if (!call.isDone()) {
            complete(call, ResultCode.TIMED_OUT);
        }
    }

    private void complete(Call call, ResultCode code) {
        call.setDone();
        mRun.results().completed(call, code, mEvents.nowNanos() + mRun.deployment().clientNanos());
        for (Copy copy : call.copies()) {
            if (copy.isOpen()) {
                cancel(copy);
            }
        }
    }

    private void cancel(Copy copy) {
        copy.close();
        long now = mEvents.nowNanos();
        mViews.get(copy.server()).cancelled(now - copy.sentNanos(), now);
        mDetector.cancelled(name(copy), copy.id(), now);
        SimGateway gateway = mRun.gateway(copy.server());
        mEvents.after(hopNanos(gateway.dataCentre()), () -> gateway.cancel(copy));
    }

    private void evaluate() {
        mDetector.evaluate(mEvents.nowNanos());
        if (!mRun.size().keyed()) {
            mChooser.reweigh(mViews, mDetector::weight);
            return;
        }
        for (ServerView view : mViews) {
            int server = Integer.parseInt(view.name());
            if (mRun.gatewayDaemon(server) == mIndex) {
                int limit = mDetector.concurrencyLimit(view.name(), FakeServer.SLOTS);
                mRun.gateway(server).limitConcurrency(limit);
            }
        }
    }

    private void updateCandidates() {
        ImmutableList.Builder<ServerView> candidates = ImmutableList.builder();
        for (int i = 0; i < mServing.length; i++) {
            if (mServing[i]) {
                candidates.add(mViews.get(i));
            }
        }
        mCandidates = candidates.build();
        mDetector.setServers(mCandidates.stream().map(ServerView::name).toList());
    }

    private String name(Copy copy) {
        return mViews.get(copy.server()).name();
    }
}
