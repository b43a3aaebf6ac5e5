/**
 * Measures decisions: policies on a paused clock, and what membership costs at different sizes.
 * Every run is seeded.
 */
package org.geraniumusher.experiments;
