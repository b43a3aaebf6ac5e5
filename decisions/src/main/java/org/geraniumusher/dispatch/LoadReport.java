package org.geraniumusher.dispatch;

/**
 * The load that a backend server reports about itself. Immutable.
 *
 * @param running requests that it is executing
 * @param waiting requests in its queue
 * @param slots requests that it can execute at the same time
 * @param serviceTimePercent time that a request currently takes on its machine, as a percentage of
 *     the usual time
 */
public record LoadReport(int running, int waiting, int slots, double serviceTimePercent) {}
