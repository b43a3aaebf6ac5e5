package org.geraniumusher.operator;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;

import java.util.List;
import java.util.Map;

/**
 * The state of a daemon, reported by the daemon itself or, if it does not answer, by the one that
 * asked. Immutable and thread-safe.
 *
 * @param name name of the daemon
 * @param incarnation start time of the daemon, which distinguishes it from earlier processes
 * @param state whether the daemon answered
 * @param dataCentre data centre of the daemon
 * @param configurationVersion version of the configuration that the daemon routes by
 * @param drains names of the drains in force at the daemon
 * @param quarantines store revision of each quarantine in force at the daemon, by fingerprint of
 *     the request; left out of the JSON while empty, because releases that do not know it reject it
 * @param tableVersions version of the daemon's key-range table, by name of the keyed service
 * @param roles what the daemon does besides routing, such as {@code coordinator}
 * @param servers the backend servers that are leaving or paused at the daemon; left out of the JSON
 *     while empty, because releases that do not know it reject it
 * @param copyAgesMillis time in ms since the daemon's copy of the objects of a kind was last known
 *     to be current, by kind; only in replies to those who ask for it, because releases that do not
 *     know it reject it
 */
public record MemberStatus(
        String name,
        long incarnation,
        State state,
        String dataCentre,
        long configurationVersion,
        List<String> drains,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) Map<String, Long> quarantines,
        Map<String, Long> tableVersions,
        List<String> roles,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<ServerStatus> servers,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) Map<String, Long> copyAgesMillis) {
    /** Makes immutable copies of the collections. */
    public MemberStatus {
        checkNotNull(name, "name");
        checkNotNull(state, "state");
        checkNotNull(dataCentre, "dataCentre");
        tableVersions = ImmutableSortedMap.copyOf(tableVersions);
        quarantines =
                quarantines == null
                        ? ImmutableSortedMap.of()
                        : ImmutableSortedMap.copyOf(quarantines);
        drains = ImmutableList.copyOf(drains);
        roles = ImmutableList.copyOf(roles);
        servers = servers == null ? ImmutableList.of() : ImmutableList.copyOf(servers);
        copyAgesMillis =
                copyAgesMillis == null
                        ? ImmutableSortedMap.of()
                        : ImmutableSortedMap.copyOf(copyAgesMillis);
    }

    /** Whether a daemon answered the last status request. */
    public enum State {
        /** The daemon answered. */
        ALIVE,
        /**
         * The daemon did not answer; its address stands for its name and other fields are unset.
         */
        SUSPECT
    }
}
