/** Computes error-budget burn rates per route from counts of good requests and of all requests. */
package org.geraniumusher.burn;
