/** Stands in for the platform: an object API with versions, conditional updates and watches. */
package org.geraniumusher.standin.platform;
