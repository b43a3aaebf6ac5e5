package org.geraniumusher.model;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.MoreObjects;

/**
 * Describes a data centre. The label {@code serving=false} takes all its backend servers out of
 * service. Immutable and thread-safe.
 */
public record DataCentre(String name, String region, Labels labels) implements ConfigObject {
    /** Refuses an empty name or region; absent labels mean none. */
    public DataCentre {
        checkArgument(!name.isBlank(), "data centre without a name");
        checkArgument(!region.isBlank(), "data centre %s without a region", name);
        labels = MoreObjects.firstNonNull(labels, Labels.of());
    }

    @Override
    public Kind kind() {
        return Kind.DATA_CENTRE;
    }

    @Override
    public DataCentre withLabels(Labels newLabels) {
        return new DataCentre(name, region, newLabels);
    }
}
