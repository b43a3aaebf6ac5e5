package org.geraniumusher.routing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.KeyHash;
import org.geraniumusher.model.KeySource;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.model.Route;
import org.geraniumusher.model.Selector;
import org.geraniumusher.model.Service;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Guards against requests that reach the wrong service or are keyed by the wrong text. */
class RouteTableTest {
    private static final RouteTable TABLE =
            RouteTable.of(
                    Configuration.of()
                            .with(1, new Service("register", null, Selector.of(""), true, 8))
                            .with(2, new Service("ledger", null, Selector.of(""), false, 8))
                            .with(3, route("clefts", "*", "/clefts", "register", "path:1"))
                            .with(4, route("all", "*", "/", "ledger", null))
                            .with(5, route("host", "yard.example", "/", "register", "query:id"))
                            .with(6, route("lost", "*", "/lost", "missing", null)));

    @Test
    void match_pathKey_decodesTheSegment() {
        RouteMatch match = TABLE.match(head("GET", "any", "/clefts/a%20b?x=1"));
        assertThat(((RouteMatch.Found) match).hash()).isEqualTo(KeyHash.of("a b"));
    }

    @Test
    void match_prefixInsideSegment_doesNotMatch() {
        RouteMatch match = TABLE.match(head("GET", "any", "/cleftsmen/1"));
        RouteMatch.Found found = (RouteMatch.Found) match;
        assertThat(found.service().name()).isEqualTo("ledger");
        assertThat(found.service().keyed()).isFalse();
        assertThat(found.hash()).isEqualTo(0);
    }

    @Test
    void match_hostRoute_goesBeforeLongerPrefix() {
        RouteMatch match = TABLE.match(head("GET", "yard.example", "/clefts/1?id=7"));
        assertThat(((RouteMatch.Found) match).hash()).isEqualTo(KeyHash.of("7"));
    }

    @Test
    void match_missingKeyOrService_refused() {
        assertThat(TABLE.match(head("GET", "any", "/clefts")))
                .isEqualTo(new RouteMatch.Refused(ResultCode.NO_KEY));
        assertThat(TABLE.match(head("GET", "any", "/lost")))
                .isEqualTo(new RouteMatch.Refused(ResultCode.NO_SERVICE));
    }

    private static Route route(
            String name, String host, String prefix, String service, String keySource) {
        return new Route(
                name,
                null,
                host,
                prefix,
                ImmutableList.of(),
                service,
                keySource == null ? null : KeySource.of(keySource),
                null,
                null,
                null,
                null);
    }

    private static RequestHead head(String method, String host, String uri) {
        return new TestHead(method, host, uri, ImmutableMap.of());
    }

    /** Holds a request head for tests. */
    record TestHead(String method, String host, String uri, Map<String, List<String>> headers)
            implements RequestHead {
        @Override
        public Optional<String> header(String name) {
            return Optional.ofNullable(headers.get(name)).map(values -> values.get(0));
        }
    }
}
