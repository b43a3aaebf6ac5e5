package org.geraniumusher.model;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.MoreObjects;

/**
 * Describes a backend server. Immutable and thread-safe.
 *
 * @param slots requests that it executes at once when warm
 * @param coldSlots requests that it bears at once just after a start
 * @param warmUpSeconds seconds from cold to warm under load
 * @param fenced whether it checks grants and epochs
 */
public record BackendServer(
        String name,
        Address address,
        String dataCentre,
        Labels labels,
        Integer slots,
        Integer coldSlots,
        Integer warmUpSeconds,
        Boolean fenced)
        implements ConfigObject {
    private static final int DEFAULT_SLOTS = 6;
    private static final int DEFAULT_WARM_UP_SECONDS = 10;

    /** Refuses empty names and limits below one; absent optional values take the defaults. */
    public BackendServer {
        checkArgument(!name.isBlank(), "backend server without a name");
        checkArgument(address != null, "backend server %s without an address", name);
        checkArgument(!dataCentre.isBlank(), "backend server %s without a data centre", name);
        labels = MoreObjects.firstNonNull(labels, Labels.of());
        slots = MoreObjects.firstNonNull(slots, DEFAULT_SLOTS);
        coldSlots = MoreObjects.firstNonNull(coldSlots, Math.max(1, slots / 3));
        warmUpSeconds = MoreObjects.firstNonNull(warmUpSeconds, DEFAULT_WARM_UP_SECONDS);
        fenced = MoreObjects.firstNonNull(fenced, Boolean.TRUE);
        checkArgument(slots >= 1, "bad slots of %s: %s", name, slots);
        checkArgument(
                coldSlots >= 1 && coldSlots <= slots, "bad coldSlots of %s: %s", name, coldSlots);
        checkArgument(warmUpSeconds >= 0, "bad warmUpSeconds of %s: %s", name, warmUpSeconds);
    }

    /** Returns a fenced server with the default limits. */
    public static BackendServer of(String name, Address address, String dataCentre, Labels labels) {
        return new BackendServer(name, address, dataCentre, labels, null, null, null, null);
    }

    @Override
    public Kind kind() {
        return Kind.BACKEND_SERVER;
    }

    @Override
    public BackendServer withLabels(Labels newLabels) {
        return new BackendServer(
                name, address, dataCentre, newLabels, slots, coldSlots, warmUpSeconds, fenced);
    }
}
