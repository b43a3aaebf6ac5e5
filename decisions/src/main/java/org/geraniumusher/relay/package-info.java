/** Which daemons follow the store for the others, so that its calls do not grow with the fleet. */
package org.geraniumusher.relay;
