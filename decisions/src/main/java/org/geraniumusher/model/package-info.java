/** Provides the values that the decisions, the daemon and the command-line tool share. */
package org.geraniumusher.model;
