package org.geraniumusher.standin.demo;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.Address;
import org.geraniumusher.model.BackendServer;
import org.geraniumusher.model.ConfigObject;
import org.geraniumusher.model.DataCentre;
import org.geraniumusher.model.KeySource;
import org.geraniumusher.model.Labels;
import org.geraniumusher.model.Route;
import org.geraniumusher.model.Selector;
import org.geraniumusher.model.Service;

import java.util.ArrayList;
import java.util.List;

/** Describes the data centres, services, routes and backend servers of the demo. Thread-safe. */
public final class DemoFleet {
    /** First port of the backend servers; each has the next one. */
    public static final int FIRST_BACKEND_PORT = 17_500;

    private static final ImmutableList<ServiceSpec> SERVICES =
            ImmutableList.of(
                    new ServiceSpec("catalogue", true, 6, Region.VITI_WEST),
                    new ServiceSpec("firing", false, 3, Region.VITI_WEST),
                    new ServiceSpec("cleft-register", true, 6, Region.LATGALE),
                    new ServiceSpec("kiln-ledger", false, 3, Region.LATGALE));

    private DemoFleet() {}

    /** Returns all objects, those that others refer to first. */
    public static ImmutableList<ConfigObject> objects() {
        ImmutableList.Builder<ConfigObject> all = ImmutableList.builder();
        for (Region region : Region.values()) {
            region.mDataCentres.forEach(
                    name -> all.add(new DataCentre(name, region.mName, Labels.of())));
        }
        all.addAll(backendServers());
        for (ServiceSpec spec : SERVICES) {
            Selector selector = Selector.of("app=" + spec.name());
            all.add(new Service(spec.name(), null, selector, spec.keyed(), 64));
        }
        all.add(route("pattern-views", "/catalogue", "GET", "catalogue", Route.Priority.READ));
        all.add(
                route(
                        "order-confirmations",
                        "/catalogue",
                        "POST",
                        "catalogue",
                        Route.Priority.ORDER));
        all.add(route("schedules", "/firing", "GET", "firing", Route.Priority.READ));
        all.add(route("register-reads", "/clefts", "GET", "cleft-register", Route.Priority.READ));
        all.add(route("reservations", "/clefts", "POST", "cleft-register", Route.Priority.ORDER));
        all.add(route("seasoning", "/ledger", "GET", "kiln-ledger", Route.Priority.READ));
        return all.build();
    }

    /** Returns the backend servers, spread over the data centres of their region. */
    public static ImmutableList<BackendServer> backendServers() {
        List<BackendServer> servers = new ArrayList<>();
        for (ServiceSpec spec : SERVICES) {
            for (int i = 0; i < spec.servers(); i++) {
                int port = FIRST_BACKEND_PORT + servers.size();
                List<String> dataCentres = spec.region().mDataCentres;
                servers.add(
                        BackendServer.of(
                                spec.name() + "-" + (i + 1),
                                new Address("127.0.0.1", port),
                                dataCentres.get(i % dataCentres.size()),
                                Labels.of("app", spec.name())));
            }
        }
        return ImmutableList.copyOf(servers);
    }

    private static Route route(
            String name, String prefix, String method, String service, Route.Priority priority) {
        boolean keyed = prefix.equals("/catalogue") || prefix.equals("/clefts");
        return new Route(
                name,
                null,
                "*",
                prefix,
                ImmutableList.of(method),
                service,
                keyed ? KeySource.of("path:1") : null,
                null,
                5_000,
                priority,
                new Route.Objective(0.999, 100));
    }

    /** Lists the regions of the demo. */
    private enum Region {
        VITI_WEST("viti-west", ImmutableList.of("lautoka-a", "nadi-b", "ba-c")),
        LATGALE("latgale", ImmutableList.of("latgale-a", "latgale-b", "latgale-c"));

        private final String mName;
        private final ImmutableList<String> mDataCentres;

        Region(String name, ImmutableList<String> dataCentres) {
            mName = name;
            mDataCentres = dataCentres;
        }
    }

    private record ServiceSpec(String name, boolean keyed, int servers, Region region) {}
}
