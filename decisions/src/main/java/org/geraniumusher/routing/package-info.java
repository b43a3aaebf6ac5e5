/**
 * Decides where a request goes: its route, its key, the owner of the key, and the daemon through
 * which the owner is reached.
 */
package org.geraniumusher.routing;
