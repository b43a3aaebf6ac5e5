/** Configuration of routes, services, limits and drains, and entries of backend servers. */
package org.geraniumusher.traffic;
