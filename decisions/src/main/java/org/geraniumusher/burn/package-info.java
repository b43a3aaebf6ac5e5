/** Computes service-level burn rates per route from counters of good and all requests. */
package org.geraniumusher.burn;
