package org.geraniumusher.experiments;

import org.geraniumusher.experiments.Deployment.ServiceSize;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntConsumer;

/**
 * Runs one scenario for one service under one policy, from a seed.
 *
 * <p>Server and daemon i are in data centre i modulo their number. The gateway of a server is in
 * its data centre. All servers are warm at the start. Not thread-safe.
 */
final class ClusterRun {
    private static final int SLICES = 256;
    private static final long SECOND = 1_000_000_000;
    private static final long CALLER_TIMEOUT_NANOS = SECOND;
    private static final double IDEMPOTENT_SHARE = 0.8;

    /** A change of labels reaches each daemon within this time. */
    private static final long SPREAD_NANOS = SECOND / 2;

    /** Slices leave within the 3 s of G8 and return more slowly than a server warms up. */
    private static final long LEAVE_NANOS = 3 * SECOND;

    private static final long RETURN_NANOS = 15 * SECOND;

    private final EventQueue mEvents = new EventQueue();
    private final Deployment mDeployment;
    private final ServiceSize mSize;
    private final Scenario mScenario;
    private final SplittableRandom mRandom;
    private final RunResults mResults;
    private final List<FakeServer> mServers = new ArrayList<>();
    private final List<SimGateway> mGateways = new ArrayList<>();
    private final List<SimDaemon> mDaemons = new ArrayList<>();
    private final int[] mOwners = new int[SLICES];
    private int mLastTaker;
    private long mLastId;

    ClusterRun(
            Deployment deployment, ServiceSize size, Policy policy, Scenario scenario, long seed) {
        mDeployment = deployment;
        mSize = size;
        mScenario = scenario;
        mRandom = new SplittableRandom(seed);
        mResults = new RunResults(Scenario.START, Scenario.START + scenario.lengthNanos());
        for (int i = 0; i < size.servers(); i++) {
            mServers.add(new FakeServer(mEvents, mRandom.split()));
            int dataCentre = gatewayDaemon(i) % deployment.dataCentres();
            mGateways.add(new SimGateway(mEvents, mServers.get(i), policy, dataCentre));
        }
        for (int i = 0; i < deployment.daemons(); i++) {
            mDaemons.add(new SimDaemon(this, i, policy, mRandom.split()));
        }
        for (int i = 0; i < SLICES; i++) {
            mOwners[i] = homeOf(i);
        }
    }

    RunResults run() {
        mScenario.script(this);
        mEvents.after(0, this::nextCall);
        for (int i = 0; i < mServers.size(); i++) {
            int server = i;
            mEvents.every(SECOND, () -> reportLoad(server));
        }
        mEvents.at(mResults.fromNanos(), () -> measureImbalance(null));
        mEvents.runUntil(mResults.toNanos() + 2 * CALLER_TIMEOUT_NANOS);
        for (FakeServer server : mServers) {
            mResults.coldExcess(server.takeLargestExcess());
        }
        return mResults;
    }

    EventQueue events() {
        return mEvents;
    }

    Deployment deployment() {
        return mDeployment;
    }

    ServiceSize size() {
        return mSize;
    }

    RunResults results() {
        return mResults;
    }

    SimGateway gateway(int server) {
        return mGateways.get(server);
    }

    int gatewayDaemon(int server) {
        int dataCentres = mDeployment.dataCentres();
        int dataCentre = server % dataCentres;
        int inDataCentre = (mDeployment.daemons() - dataCentre - 1) / dataCentres + 1;
        return dataCentre + dataCentres * (server / dataCentres % inDataCentre);
    }

    int ownerOf(int slice) {
        return mOwners[slice];
    }

    long nextId() {
        return ++mLastId;
    }

    void slow(int count, double factor) {
        mServers.subList(0, count).forEach(server -> server.setSlowFactor(factor));
    }

    void slowMoments(int server, long meanGapNanos, long lengthNanos, double factor) {
        long gap = (long) (-Math.log(1 - mRandom.nextDouble()) * meanGapNanos);
        mEvents.after(gap, () -> mServers.get(server).setSlowFactor(factor));
        mEvents.after(
                gap + lengthNanos,
                () -> {
                    mServers.get(server).setSlowFactor(1);
                    slowMoments(server, meanGapNanos, lengthNanos, factor);
                });
    }

    void turnCold(int server) {
        mServers.get(server).turnCold();
    }

    /** Measures the load of cold servers from now on apart from the load until now. */
    void startLateExcess() {
        mServers.forEach(server -> mResults.coldExcess(server.takeLargestExcess()));
        mResults.startLateExcess();
    }

    void departDataCentre() {
        setServing(false);
        spreadOver(LEAVE_NANOS, this::moveAway);
    }

    void stopDataCentre() {
        forLeaving(server -> mServers.get(server).stop());
    }

    void returnDataCentre() {
        forLeaving(server -> mServers.get(server).restart());
        forLeaving(server -> mGateways.get(server).newIncarnation());
        setServing(true);
        spreadOver(RETURN_NANOS, slice -> mOwners[slice] = homeOf(slice));
    }

    private void forLeaving(IntConsumer action) {
        for (int i = 0; i < mServers.size(); i += mDeployment.dataCentres()) {
            action.accept(i);
        }
    }

    private boolean isLeaving(int server) {
        return server % mDeployment.dataCentres() == 0;
    }

    private void setServing(boolean serving) {
        for (SimDaemon daemon : mDaemons) {
            long delay = mRandom.nextLong(SPREAD_NANOS);
            mEvents.after(delay, () -> forLeaving(s -> daemon.setServing(s, serving)));
        }
    }

    /** Handles the slices of the leaving servers one by one over {@code nanos}. */
    private void spreadOver(long nanos, IntConsumer action) {
        for (int i = 0; i < SLICES; i++) {
            int slice = i;
            if (isLeaving(homeOf(slice))) {
                mEvents.after(mRandom.nextLong(nanos), () -> action.accept(slice));
            }
        }
    }

    private void moveAway(int slice) {
        do {
            mLastTaker = (mLastTaker + 1) % mServers.size();
        } while (isLeaving(mLastTaker));
        mOwners[slice] = mLastTaker;
    }

    private int homeOf(int slice) {
        return slice * mServers.size() / SLICES;
    }

    private void nextCall() {
        long now = mEvents.nowNanos();
        if (now >= mResults.toNanos()) {
            return;
        }
        boolean idempotent = mRandom.nextDouble() < IDEMPOTENT_SHARE;
        Call call = new Call(now, now + CALLER_TIMEOUT_NANOS, idempotent, mRandom.nextInt(SLICES));
        SimDaemon daemon = mDaemons.get(mRandom.nextInt(mDaemons.size()));
        mEvents.after(mDeployment.clientNanos(), () -> daemon.handle(call));
        double slots = mServers.size() * FakeServer.SLOTS;
        double meanGap = FakeServer.MEAN_SERVICE_NANOS / (slots * mScenario.load());
        mEvents.after((long) (-Math.log(1 - mRandom.nextDouble()) * meanGap), this::nextCall);
    }

    /** Sends the running requests of a server to all daemons, one second late. */
    private void reportLoad(int server) {
        double load = mServers.get(server).running();
        mEvents.after(SECOND, () -> mDaemons.forEach(d -> d.reportLoad(server, load)));
    }

    private void measureImbalance(long[] before) {
        long[] started = mServers.stream().mapToLong(FakeServer::started).toArray();
        if (before != null) {
            double highest = 0;
            double sum = 0;
            for (int i = 0; i < started.length; i++) {
                highest = Math.max(highest, started[i] - before[i]);
                sum += started[i] - before[i];
            }
            mResults.imbalance(highest * started.length / sum);
        }
        if (mEvents.nowNanos() < mResults.toNanos()) {
            mEvents.after(SECOND, () -> measureImbalance(started));
        }
    }
}
