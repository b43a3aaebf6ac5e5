/** Measures the decision modules with fake servers on a paused clock. */
package org.geraniumusher.experiments;
