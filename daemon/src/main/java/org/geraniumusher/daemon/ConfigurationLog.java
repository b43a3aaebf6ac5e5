package org.geraniumusher.daemon;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.BackendServer;
import org.geraniumusher.model.ConfigObject;
import org.geraniumusher.model.Configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Describes the changes between two configurations in log lines. Not instantiable. */
final class ConfigurationLog {
    /** Objects named in a line; a snapshot may change thousands. */
    private static final int MAX_NAMED = 8;

    private ConfigurationLog() {}

    /** Returns the lines; none when no object differs, as when a change arrives on two ways. */
    static ImmutableList<String> lines(Configuration before, Configuration after) {
        List<ConfigObject> changed = changed(before, after);
        ImmutableList.Builder<String> lines = ImmutableList.builder();
        if (!changed.isEmpty()) {
            lines.add(
                    "config: in force. version=" + after.version() + " changed=" + names(changed));
        }
        lines.addAll(servingLines(before, after, changed));
        return lines.build();
    }

    private static List<String> servingLines(
            Configuration before, Configuration after, List<ConfigObject> changed) {
        List<String> left = new ArrayList<>();
        List<String> returned = new ArrayList<>();
        for (BackendServer server : affected(after, changed)) {
            boolean was = before.backendServer(server.name()).map(before::isServing).orElse(true);
            if (was != after.isServing(server)) {
                (was ? left : returned).add(server.name());
            }
        }
        List<String> lines = new ArrayList<>();
        if (!left.isEmpty()) {
            lines.add(serving("out of service", "label serving=false", changed, left));
        }
        if (!returned.isEmpty()) {
            lines.add(serving("returned to service", "label removed", changed, returned));
        }
        return lines;
    }

    /** Returns the servers that changed or whose data centre did. */
    private static List<BackendServer> affected(
            Configuration configuration, List<ConfigObject> changed) {
        Set<String> names = new HashSet<>();
        changed.forEach(object -> names.add(object.name()));
        return configuration.backendServers().stream()
                .filter(s -> names.contains(s.name()) || names.contains(s.dataCentre()))
                .toList();
    }

    private static String serving(
            String what, String label, List<ConfigObject> changed, List<String> servers) {
        return String.format(
                "config: servers %s. count=%d servers=%s reason=%s on %s",
                what, servers.size(), shortened(servers), label, names(changed));
    }

    private static List<ConfigObject> changed(Configuration before, Configuration after) {
        List<ConfigObject> changed = new ArrayList<>();
        for (ConfigObject object : all(after)) {
            if (!before.find(object.kind(), object.name()).equals(Optional.of(object))) {
                changed.add(object);
            }
        }
        for (ConfigObject object : all(before)) {
            if (after.find(object.kind(), object.name()).isEmpty()) {
                changed.add(object);
            }
        }
        return changed;
    }

    private static List<ConfigObject> all(Configuration configuration) {
        List<ConfigObject> all = new ArrayList<>(configuration.dataCentres());
        all.addAll(configuration.backendServers());
        all.addAll(configuration.services());
        all.addAll(configuration.routes());
        return all;
    }

    private static String names(List<ConfigObject> objects) {
        return shortened(objects.stream().map(o -> o.kind().path() + "/" + o.name()).toList());
    }

    private static String shortened(List<String> names) {
        String named = String.join(",", names.subList(0, Math.min(MAX_NAMED, names.size())));
        int rest = names.size() - MAX_NAMED;
        return rest > 0 ? named + " and " + rest + " more" : named;
    }
}
