/** Chooses the backend server of a request to an unkeyed service and detects stragglers. */
package org.geraniumusher.choice;
