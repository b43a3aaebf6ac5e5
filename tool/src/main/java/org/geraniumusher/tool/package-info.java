/** The command-line tool {@code geraniumusher}, a client of the operator ports of the daemons. */
package org.geraniumusher.tool;
