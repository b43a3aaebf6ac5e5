package org.geraniumusher.model;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.MoreObjects;

/**
 * Describes a service: the backend servers that its selector matches. Immutable and thread-safe.
 *
 * @param keyed whether each key has one owner among the backend servers
 * @param slices number of initial slices of the hash space of a keyed service; fixed once created
 */
public record Service(String name, Labels labels, Selector selector, Boolean keyed, Integer slices)
        implements ConfigObject {
    private static final int DEFAULT_SLICES = 256;
    private static final int MAX_SLICES = 4_096;

    /** Refuses an empty name and a slice count outside 1 to 4096. */
    public Service {
        checkArgument(!name.isBlank(), "service without a name");
        checkArgument(selector != null, "service %s without a selector", name);
        labels = MoreObjects.firstNonNull(labels, Labels.of());
        keyed = MoreObjects.firstNonNull(keyed, Boolean.FALSE);
        slices = MoreObjects.firstNonNull(slices, DEFAULT_SLICES);
        checkArgument(
                slices >= 1 && slices <= MAX_SLICES, "bad slices of service %s: %s", name, slices);
    }

    @Override
    public Kind kind() {
        return Kind.SERVICE;
    }

    @Override
    public Service withLabels(Labels newLabels) {
        return new Service(name, newLabels, selector, keyed, slices);
    }
}
