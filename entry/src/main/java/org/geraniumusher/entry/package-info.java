/**
 * The entry daemon, which forwards the requests of callers to backend servers and coordinates the
 * ownership of key ranges through a store. The encoding of messages is supplied by an adapter that
 * implements {@link org.geraniumusher.entry.WireFormat}.
 */
package org.geraniumusher.entry;
