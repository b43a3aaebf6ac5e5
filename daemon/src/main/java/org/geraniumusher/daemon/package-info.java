/** Runs the daemon: its threads, settings and wiring. */
package org.geraniumusher.daemon;
