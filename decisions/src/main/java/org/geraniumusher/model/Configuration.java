package org.geraniumusher.model;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Holds the whole configuration at one version of the store.
 *
 * <p>Copies share nothing mutable. Immutable and thread-safe.
 *
 * @param version revision of the store's last change that is contained
 */
public record Configuration(
        long version, ImmutableMap<Kind, ImmutableMap<String, ConfigObject>> objects) {
    /** Label that takes a backend server or a data centre out of service when it is "false". */
    public static final String SERVING_LABEL = "serving";

    private static final String DATA_CENTRE_LABEL = "data-centre";
    private static final String REGION_LABEL = "region";
    private static final Configuration EMPTY = new Configuration(0, ImmutableMap.of());

    /** Returns the configuration before the first change, at version 0. */
    public static Configuration of() {
        return EMPTY;
    }

    /** Returns a copy with {@code object} added or replaced; the version must grow. */
    public Configuration with(long newVersion, ConfigObject object) {
        Map<String, ConfigObject> copy = new TreeMap<>(byKind(object.kind()));
        copy.put(object.name(), object);
        return withKind(newVersion, object.kind(), copy);
    }

    /** Returns a copy without an object; the version must grow. */
    public Configuration without(long newVersion, Kind kind, String name) {
        Map<String, ConfigObject> copy = new TreeMap<>(byKind(kind));
        copy.remove(name);
        return withKind(newVersion, kind, copy);
    }

    /** Returns a copy at a later version with the same objects. */
    public Configuration atVersion(long newVersion) {
        checkArgument(newVersion >= version, "version %s after %s", newVersion, version);
        return new Configuration(newVersion, objects);
    }

    /** Returns an object, or empty when there is none. */
    public Optional<ConfigObject> find(Kind kind, String name) {
        return Optional.ofNullable(byKind(kind).get(name));
    }

    /** Returns a service by name. */
    public Optional<Service> service(String name) {
        return find(Kind.SERVICE, name).map(Service.class::cast);
    }

    /** Returns a backend server by name. */
    public Optional<BackendServer> backendServer(String name) {
        return find(Kind.BACKEND_SERVER, name).map(BackendServer.class::cast);
    }

    /** Returns all routes, sorted by name. */
    public ImmutableList<Route> routes() {
        return list(Kind.ROUTE, Route.class);
    }

    /** Returns all services, sorted by name. */
    public ImmutableList<Service> services() {
        return list(Kind.SERVICE, Service.class);
    }

    /** Returns all backend servers, sorted by name. */
    public ImmutableList<BackendServer> backendServers() {
        return list(Kind.BACKEND_SERVER, BackendServer.class);
    }

    /** Returns all data centres, sorted by name. */
    public ImmutableList<DataCentre> dataCentres() {
        return list(Kind.DATA_CENTRE, DataCentre.class);
    }

    /**
     * Returns the labels that selectors see: the server's own, those of its data centre behind the
     * prefix {@code data-centre/}, and {@code data-centre} and {@code region}.
     */
    public Labels effectiveLabels(BackendServer server) {
        Map<String, String> all = new TreeMap<>(server.labels().asMap());
        all.put(DATA_CENTRE_LABEL, server.dataCentre());
        find(Kind.DATA_CENTRE, server.dataCentre())
                .map(DataCentre.class::cast)
                .ifPresent(
                        dc -> {
                            all.put(REGION_LABEL, dc.region());
                            dc.labels()
                                    .asMap()
                                    .forEach((k, v) -> all.put(DATA_CENTRE_LABEL + "/" + k, v));
                        });
        return Labels.copyOf(all);
    }

    /** Reports whether neither the server nor its data centre is labelled {@code serving=false}. */
    public boolean isServing(BackendServer server) {
        return isServing(effectiveLabels(server));
    }

    private static boolean isServing(Labels labels) {
        return !labels.get(SERVING_LABEL).equals(Optional.of("false"))
                && !labels.get(DATA_CENTRE_LABEL + "/" + SERVING_LABEL)
                        .equals(Optional.of("false"));
    }

    /** Returns the servers that a service selects and that are serving, sorted by name. */
    public ImmutableList<BackendServer> serversOf(Service service) {
        return backendServers().stream()
                .filter(this::isServing)
                .filter(server -> service.selector().matches(effectiveLabels(server)))
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns what {@link #serversOf} returns for every service, by the name of the service. The
     * labels of a server are put together once, not once for each service.
     */
    public ImmutableListMultimap<String, BackendServer> serversByService() {
        List<Labelled> serving = new ArrayList<>();
        for (BackendServer server : backendServers()) {
            Labels labels = effectiveLabels(server);
            if (isServing(labels)) {
                serving.add(new Labelled(server, labels));
            }
        }
        ImmutableListMultimap.Builder<String, BackendServer> servers =
                ImmutableListMultimap.builder();
        for (Service service : services()) {
            for (Labelled candidate : serving) {
                if (service.selector().matches(candidate.labels())) {
                    servers.put(service.name(), candidate.server());
                }
            }
        }
        return servers.build();
    }

    private record Labelled(BackendServer server, Labels labels) {}

    private Configuration withKind(long newVersion, Kind kind, Map<String, ConfigObject> values) {
        checkArgument(newVersion > version, "version %s after %s", newVersion, version);
        Map<Kind, ImmutableMap<String, ConfigObject>> copy = new EnumMap<>(Kind.class);
        copy.putAll(objects);
        copy.put(kind, ImmutableMap.copyOf(values));
        return new Configuration(newVersion, ImmutableMap.copyOf(copy));
    }

    private ImmutableMap<String, ConfigObject> byKind(Kind kind) {
        return objects.getOrDefault(kind, ImmutableMap.of());
    }

    private <T extends ConfigObject> ImmutableList<T> list(Kind kind, Class<T> type) {
        return byKind(kind).values().stream()
                .map(type::cast)
                .collect(ImmutableList.toImmutableList());
    }
}
