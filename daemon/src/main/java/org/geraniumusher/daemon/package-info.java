/** Provides the settings, the logging and the duties of the daemon {@code geraniumusherd}. */
package org.geraniumusher.daemon;
