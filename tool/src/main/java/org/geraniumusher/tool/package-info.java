/** Provides the command-line tool {@code geraniumusher}, which talks to the operator ports. */
package org.geraniumusher.tool;
