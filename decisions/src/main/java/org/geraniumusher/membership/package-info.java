/**
 * Detects failed daemons in the manner of SWIM and chooses daemons for tasks by rendezvous hash.
 * State machines without sockets, threads or clocks.
 */
package org.geraniumusher.membership;
