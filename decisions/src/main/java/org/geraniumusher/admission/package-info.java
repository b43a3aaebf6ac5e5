/** Decides which requests a backend server runs now, which wait and which are refused. */
package org.geraniumusher.admission;
