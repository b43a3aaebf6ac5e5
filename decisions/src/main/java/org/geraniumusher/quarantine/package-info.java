/**
 * Requests that crash the backend servers that run them: which requests were in progress when
 * servers terminated, and which of them are quarantined.
 */
package org.geraniumusher.quarantine;
