package org.geraniumusher.experiments;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;

import org.geraniumusher.dissemination.Change;
import org.geraniumusher.dissemination.Versions;
import org.geraniumusher.membership.Member;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.BackendServer;
import org.geraniumusher.model.ConfigObject;
import org.geraniumusher.model.DataCentre;
import org.geraniumusher.model.KeySource;
import org.geraniumusher.model.Labels;
import org.geraniumusher.model.Route;
import org.geraniumusher.model.Selector;
import org.geraniumusher.model.Service;
import org.geraniumusher.model.ShardState;
import org.geraniumusher.model.Slice;

import java.util.ArrayList;
import java.util.List;

/** Builds daemons, configuration objects and shards of a given size for the measurements. */
final class Fleet {
    static final int DATA_CENTRES = 19;
    static final int REGIONS = 6;
    private static final int PORT = 7_400;
    private static final int OBJECTS_PER_SERVICE = 50;
    private static final int OBJECTS_PER_ROUTE = 10;

    private Fleet() {}

    static Member member(int index) {
        Address address = new Address("10." + index / 250 + ".0." + index % 250, PORT);
        return new Member("entry-" + index, 1, dataCentre(index), address, address, address);
    }

    static ImmutableList<Member> members(int count) {
        ImmutableList.Builder<Member> members = ImmutableList.builder();
        for (int i = 0; i < count; i++) {
            members.add(member(i));
        }
        return members.build();
    }

    /** Returns versions as full as a probe carries them: eight shards. */
    static Versions versions() {
        ImmutableMap.Builder<String, Long> shards = ImmutableMap.builder();
        for (int i = 0; i < 8; i++) {
            shards.put("service-" + i, 1_000_000L + i);
        }
        return new Versions(1_000_000, ImmutableSet.of(), shards.buildOrThrow());
    }

    /** Returns 2% services, 10% routes and backend servers for the rest, beside data centres. */
    static ImmutableList<ConfigObject> objects(int count) {
        ImmutableList.Builder<ConfigObject> all = ImmutableList.builder();
        for (int i = 0; i < DATA_CENTRES; i++) {
            all.add(new DataCentre(dataCentre(i), "region-" + i % REGIONS, Labels.of()));
        }
        int services = Math.max(2, count / OBJECTS_PER_SERVICE);
        int routes = count / OBJECTS_PER_ROUTE;
        for (int i = 0; i < services; i++) {
            Selector selector = Selector.of("app=service-" + i);
            all.add(new Service("service-" + i, null, selector, i % 2 == 0, 256));
        }
        for (int i = 0; i < routes; i++) {
            all.add(route(i, i % services));
        }
        for (int i = 0; i < count - services - routes; i++) {
            all.add(server(i, "service-" + i % services));
        }
        return all.build();
    }

    static ImmutableList<Change> changes(List<ConfigObject> objects) {
        ImmutableList.Builder<Change> changes = ImmutableList.builder();
        for (int i = 0; i < objects.size(); i++) {
            changes.add(Change.put(i + 1, objects.get(i)));
        }
        return changes.build();
    }

    static BackendServer server(int index, String app) {
        return BackendServer.of(
                "server-" + index,
                new Address("10.100." + index / 250 + "." + index % 250, PORT),
                dataCentre(index),
                Labels.of("app", app));
    }

    /** Returns a shard whose slices are spread over the servers and led by the first daemons. */
    static ShardState shard(String service, int slices, int servers) {
        List<Slice> owned = new ArrayList<>();
        for (Slice slice : ShardState.create(service, slices).slices()) {
            owned.add(slice.assignedTo("server-" + owned.size() % servers, owned.size() + 1));
        }
        return new ShardState(
                service,
                1,
                "entry-0@1",
                ImmutableList.of("entry-1@1", "entry-2@1"),
                ImmutableList.of(),
                slices,
                owned);
    }

    static String dataCentre(int index) {
        return "centre-" + index % DATA_CENTRES;
    }

    private static Route route(int index, int service) {
        return new Route(
                "route-" + index,
                null,
                "*",
                "/route-" + index,
                ImmutableList.of(),
                "service-" + service,
                service % 2 == 0 ? KeySource.of("path:1") : null,
                null,
                5_000,
                null,
                null);
    }
}
