package org.geraniumusher.experiments;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.dissemination.Change;
import org.geraniumusher.dissemination.Disseminator;
import org.geraniumusher.dissemination.SyncMessage;
import org.geraniumusher.membership.Member;
import org.geraniumusher.model.ConfigObject;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.peer.WireFormat;
import org.geraniumusher.routing.RequestDecider;
import org.geraniumusher.routing.RouteTable;
import org.geraniumusher.routing.RoutingConfiguration;

/** Measures one configuration change by the number of objects in force. */
public final class ConfigurationSlopes {
    private static final int[] OBJECTS = {100, 1_000, 10_000};

    private final Disseminator mDisseminator = Disseminator.create(Fleet.member(0));
    private final ImmutableList<ConfigObject> mObjects;
    private long mVersion;

    private ConfigurationSlopes(int objects) {
        mObjects = Fleet.objects(objects);
        mVersion = mObjects.size();
        mDisseminator.onListed(mVersion, Fleet.changes(mObjects));
    }

    /** Prints the table. */
    public static void main(String[] args) {
        System.out.println("### Configuration change, 2% services, 10% routes, 88% servers\n");
        System.out.println(
                "| objects | delta bytes | snapshot bytes | replica µs a change"
                        + " | RouteTable.of µs | RoutingConfiguration.of µs | onConfiguration µs"
                        + " | heap bytes an object |");
        System.out.println("|---|---|---|---|---|---|---|---|");
        for (int objects : OBJECTS) {
            printRow(objects);
        }
        System.out.println();
    }

    private static void printRow(int objects) {
        ConfigurationSlopes run = new ConfigurationSlopes(objects);
        Member self = Fleet.member(0);
        ImmutableList<Change> all = Fleet.changes(run.mObjects);
        Configuration configuration = run.mDisseminator.configuration();
        Change last = all.get(all.size() - 1);
        SyncMessage delta =
                new SyncMessage.Delta(
                        last.version() - 1, last.version(), last.version(), ImmutableList.of(last));
        SyncMessage snapshot = new SyncMessage.Snapshot(last.version(), all);
        RoutingConfiguration view = RoutingConfiguration.of(configuration);
        RequestDecider decider = RequestDecider.create(new CountingOutputs(), 1);
        Summary heap = CpuMeter.retainedBytes(3, () -> new ConfigurationSlopes(objects));
        System.out.printf(
                "| %d | %d | %d | %s | %s | %s | %s | %.0f |%n",
                objects,
                WireFormat.encode(self, delta).length,
                WireFormat.encode(self, snapshot).length,
                CpuMeter.text(CpuMeter.micros(run::change)),
                CpuMeter.text(CpuMeter.micros(() -> RouteTable.of(configuration))),
                CpuMeter.text(CpuMeter.micros(() -> RoutingConfiguration.of(configuration))),
                CpuMeter.text(CpuMeter.micros(() -> configure(decider, view))),
                heap.median() / objects);
    }

    private Object change() {
        mVersion++;
        return mDisseminator.onWatched(Change.put(mVersion, mObjects.get(mObjects.size() - 1)));
    }

    private static RequestDecider configure(RequestDecider decider, RoutingConfiguration view) {
        decider.onConfiguration(0, view);
        return decider;
    }
}
