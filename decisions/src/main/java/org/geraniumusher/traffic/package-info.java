/** What the router is told about the traffic: routes, services, limits and backend servers. */
package org.geraniumusher.traffic;
