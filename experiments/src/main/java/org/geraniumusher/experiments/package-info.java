/** Measures parts of the router. */
package org.geraniumusher.experiments;
