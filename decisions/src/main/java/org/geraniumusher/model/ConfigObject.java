package org.geraniumusher.model;

/** Is one object that operators or the platform write. Implementations are immutable. */
public sealed interface ConfigObject permits DataCentre, BackendServer, Service, Route {
    /** Returns the name, unique within the kind. */
    String name();

    /** Returns the labels of the object itself. */
    Labels labels();

    /** Returns the kind. */
    Kind kind();

    /** Returns a copy with other labels. */
    ConfigObject withLabels(Labels newLabels);
}
