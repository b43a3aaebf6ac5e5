package org.geraniumusher.standin.backend;

/**
 * Counts what a stand-in of a backend server has seen. Immutable and thread-safe.
 *
 * @param executed requests that ran
 * @param repeated requests that ran more than once, by their identifier
 * @param refusedByGrant requests refused because no grant covers them
 * @param refusedByLoad requests refused because all slots were taken
 * @param highestRunning most requests that ran at once
 */
public record BackendStats(
        String server,
        long executed,
        long repeated,
        long refusedByGrant,
        long refusedByLoad,
        int running,
        int highestRunning) {}
