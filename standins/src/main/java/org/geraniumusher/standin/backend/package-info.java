/** Stands in for backend servers: slots, service times, cold starts, grants and faults. */
package org.geraniumusher.standin.backend;
