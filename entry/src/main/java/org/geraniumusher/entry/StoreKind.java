package org.geraniumusher.entry;

/** The kinds of objects in the store. Immutable. */
public enum StoreKind {
    /** The configuration (routes and services), a single object written by operators. */
    CONFIGURATION,
    /** Data centres whose servers must not receive requests, written by operators. */
    EVACUATIONS,
    /**
     * Selectors of backend servers that are out of service, written by daemons on behalf of
     * operators.
     */
    DRAINS,
    /**
     * Requests that crash the servers that run them, written by the coordinator and removed by it
     * or by daemons on behalf of operators.
     */
    QUARANTINES,
    /** Entries of backend servers, which the servers write themselves. */
    SERVERS,
    /** Tables of key ranges, one for each keyed service, written by the coordinator. */
    RANGES,
    /** The current coordinator, a single object. */
    COORDINATORS,
    /** Daemons and their peer addresses, one object each, which the daemons write themselves. */
    DAEMONS
}
