/**
 * The entry daemon: takes requests of callers, sends each to a backend server, and coordinates the
 * ownership of key ranges through a store. What is spoken on the wire is left to an adapter.
 */
package org.geraniumusher.entry;
