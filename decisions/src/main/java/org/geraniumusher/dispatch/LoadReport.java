package org.geraniumusher.dispatch;

/**
 * What a backend server says of its load. Immutable.
 *
 * @param pacePercent how long work takes on its machine at this moment, 100 as usual
 */
public record LoadReport(int running, int waiting, int slots, double pacePercent) {}
