/**
 * Spreads versions of the configuration and of shard states among daemons. State machines without
 * sockets, threads or clocks.
 */
package org.geraniumusher.dissemination;
