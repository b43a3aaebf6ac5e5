/**
 * Chooses the daemons that watch the store for others, so its load is independent of fleet size.
 */
package org.geraniumusher.relay;
