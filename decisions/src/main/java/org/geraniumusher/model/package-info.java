/** Value types shared by the decision logic, the daemon and the command-line tool. */
package org.geraniumusher.model;
