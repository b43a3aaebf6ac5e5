/**
 * Speaks with callers, and with other daemons that forward requests: HTTP/1.1 with streaming bodies
 * and backpressure in both directions.
 */
package org.geraniumusher.caller;
