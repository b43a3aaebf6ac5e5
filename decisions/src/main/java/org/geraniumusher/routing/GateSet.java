package org.geraniumusher.routing;

import com.google.common.collect.ImmutableList;

import org.agrona.collections.Long2ObjectHashMap;
import org.geraniumusher.admission.Admission;
import org.geraniumusher.admission.GateLoad;
import org.geraniumusher.admission.GateRequest;
import org.geraniumusher.admission.ServerGate;
import org.geraniumusher.admission.WarmUp;
import org.geraniumusher.model.BackendServer;
import org.geraniumusher.model.Outcome;
import org.geraniumusher.model.Route;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Keeps the gates of the backend servers for which this daemon is the gateway.
 *
 * <p>Invariant: each submitted request is at one gate until its end is reported. Not thread-safe.
 */
final class GateSet {
    private final WarmUp mWarmUp;
    private final Map<String, Gate> mGates = new HashMap<>();
    private final Long2ObjectHashMap<Entry> mEntries = new Long2ObjectHashMap<>();

    /** Servers of the configuration before, by name, with whether they were serving. */
    private final Map<String, Boolean> mServing = new HashMap<>();

    private final Map<String, Long> mKnownSinceNanos = new HashMap<>();

    GateSet(WarmUp warmUp) {
        mWarmUp = warmUp;
    }

    /** Notes servers that are new, gone, changed or back in service. */
    ImmutableList<Admission> onConfiguration(long nowNanos, RoutingConfiguration view) {
        ImmutableList.Builder<Admission> verdicts = ImmutableList.builder();
        Set<String> names = new HashSet<>();
        for (BackendServer server : view.configuration().backendServers()) {
            names.add(server.name());
            mKnownSinceNanos.putIfAbsent(server.name(), nowNanos);
            boolean serving = view.serving().contains(server.name());
            Boolean before = mServing.put(server.name(), serving);
            Gate gate = mGates.get(server.name());
            if (gate != null && serving && Boolean.FALSE.equals(before)) {
                verdicts.addAll(gate.mGate.returnedToService(nowNanos));
            }
        }
        mServing.keySet().retainAll(names);
        mKnownSinceNanos.keySet().retainAll(names);
        return verdicts.build();
    }

    /** Asks for a slot of a server. */
    ImmutableList<Admission> submit(
            long nowNanos,
            BackendServer server,
            long id,
            Route.Priority priority,
            long deadlineNanos) {
        Gate gate = mGates.get(server.name());
        if (gate == null || !gate.mServer.equals(server.withLabels(gate.mServer.labels()))) {
            gate = new Gate(server, create(nowNanos, server));
            mGates.put(server.name(), gate);
        }
        mEntries.put(id, new Entry(gate, nowNanos));
        return note(
                nowNanos,
                gate.mGate.submit(new GateRequest(id, priority, deadlineNanos), nowNanos));
    }

    /** Reports whether a request is at one of the gates. */
    boolean contains(long id) {
        return mEntries.containsKey(id);
    }

    /** Returns what an entry daemon learns from the answer to a running request. */
    GatewayReport reportOf(long nowNanos, long id) {
        Entry entry = mEntries.get(id);
        return new GatewayReport(
                entry.mGate.mGate.load(), Math.max(0, nowNanos - entry.mSinceNanos));
    }

    /** Returns the load of the gate of a request. */
    GateLoad loadOf(long id) {
        return mEntries.get(id).mGate.mGate.load();
    }

    /** Takes the end of a running request. */
    ImmutableList<Admission> finished(long nowNanos, long id, Outcome outcome) {
        Entry entry = mEntries.remove(id);
        return entry == null
                ? ImmutableList.of()
                : note(
                        nowNanos,
                        entry.mGate.mGate.finished(
                                id, outcome, nowNanos - entry.mSinceNanos, nowNanos));
    }

    /** Takes a refusal by the server for lack of capacity. */
    ImmutableList<Admission> refusedByServer(long nowNanos, long id) {
        Entry entry = mEntries.remove(id);
        return entry == null
                ? ImmutableList.of()
                : note(nowNanos, entry.mGate.mGate.refusedByServer(id, nowNanos));
    }

    /** Takes the failure of the connection of a running request. */
    ImmutableList<Admission> connectionLost(long nowNanos, long id, Outcome outcome) {
        Entry entry = mEntries.remove(id);
        if (entry == null) {
            return ImmutableList.of();
        }
        ServerGate gate = entry.mGate.mGate;
        ImmutableList.Builder<Admission> verdicts = ImmutableList.builder();
        verdicts.addAll(gate.connectionReset(nowNanos));
        verdicts.addAll(gate.finished(id, outcome, nowNanos - entry.mSinceNanos, nowNanos));
        return note(nowNanos, verdicts.build());
    }

    /** Takes the end of a request whose caller has left; its connection is closed already. */
    ImmutableList<Admission> abandoned(long nowNanos, long id) {
        Entry entry = mEntries.remove(id);
        if (entry == null) {
            return ImmutableList.of();
        }
        ServerGate gate = entry.mGate.mGate;
        return note(
                nowNanos,
                entry.mDispatched
                        ? gate.finished(id, Outcome.UNKNOWN, nowNanos - entry.mSinceNanos, nowNanos)
                        : gate.cancel(id, nowNanos));
    }

    /** Forgets a request that a gate refused. */
    void refused(long id) {
        mEntries.remove(id);
    }

    /** Tells the gate that its server has been restarted. */
    ImmutableList<Admission> newIncarnation(long nowNanos, String server) {
        Gate gate = mGates.get(server);
        return gate == null
                ? ImmutableList.of()
                : note(nowNanos, gate.mGate.newIncarnation(nowNanos));
    }

    /** Refuses what has waited too long and dispatches what fits, at all gates. */
    ImmutableList<Admission> tick(long nowNanos) {
        ImmutableList.Builder<Admission> verdicts = ImmutableList.builder();
        mGates.values().forEach(gate -> verdicts.addAll(gate.mGate.tick(nowNanos)));
        return note(nowNanos, verdicts.build());
    }

    /**
     * A server that the configuration has held for longer than its warm-up was warm under another
     * gateway daemon; any other is new.
     */
    private ServerGate create(long nowNanos, BackendServer server) {
        ServerGate gate = ServerGate.create(server, mWarmUp, nowNanos);
        long known = nowNanos - mKnownSinceNanos.getOrDefault(server.name(), nowNanos);
        if (known > server.warmUpSeconds() * 1_000_000_000L) {
            gate.takeOverWarm(nowNanos);
        }
        return gate;
    }

    private ImmutableList<Admission> note(long nowNanos, ImmutableList<Admission> verdicts) {
        for (Admission verdict : verdicts) {
            Entry entry = mEntries.get(verdict.id());
            if (verdict instanceof Admission.Dispatch && entry != null) {
                entry.mDispatched = true;
                entry.mSinceNanos = nowNanos;
            }
        }
        return verdicts;
    }

    private static final class Gate {
        private final BackendServer mServer;
        private final ServerGate mGate;

        Gate(BackendServer server, ServerGate gate) {
            mServer = server;
            mGate = gate;
        }
    }

    private static final class Entry {
        private final Gate mGate;
        private long mSinceNanos;
        private boolean mDispatched;

        Entry(Gate gate, long sinceNanos) {
            mGate = gate;
            mSinceNanos = sinceNanos;
        }
    }
}
