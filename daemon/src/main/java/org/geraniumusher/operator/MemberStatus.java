package org.geraniumusher.operator;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;

import java.util.List;
import java.util.Map;

/**
 * Describes a daemon as another daemon sees it. Immutable and thread-safe.
 *
 * @param incarnation start time of the daemon
 * @param configurationVersion version of the configuration in force there
 * @param earlyVersions later versions that are in force too, before all those between them
 * @param shardVersions version of the table of each keyed service there
 * @param roles what the daemon does besides routing, such as {@code relay}
 */
public record MemberStatus(
        String name,
        long incarnation,
        State state,
        String dataCentre,
        long configurationVersion,
        List<Long> earlyVersions,
        Map<String, Long> shardVersions,
        List<String> roles) {
    /** Copies the collections. */
    public MemberStatus {
        checkNotNull(name, "name");
        checkNotNull(state, "state");
        checkNotNull(dataCentre, "dataCentre");
        shardVersions = ImmutableSortedMap.copyOf(shardVersions);
        roles = ImmutableList.copyOf(roles);
        earlyVersions = ImmutableList.copyOf(earlyVersions);
    }

    /** Reports whether the change that made {@code version} is in force there. */
    @JsonIgnore
    public boolean hasInForce(long version) {
        return configurationVersion >= version || earlyVersions.contains(version);
    }

    /** Reports whether the daemon may take requests: it is neither dead nor has it left. */
    @JsonIgnore
    public boolean isLive() {
        return state == State.ALIVE || state == State.SUSPECT;
    }

    /** Lists the states of the failure detector. */
    public enum State {
        /** It answers. */
        ALIVE,
        /** It has not answered lately, directly or through others. */
        SUSPECT,
        /** It has said that it leaves. */
        LEFT,
        /** It is gone. */
        DEAD
    }
}
