/**
 * Ownership of key ranges by backend servers that check fencing tokens: the table of assignments,
 * the election of the coordinator, and the protocol by which it grants, renews and moves ranges.
 */
package org.geraniumusher.keyrange;
