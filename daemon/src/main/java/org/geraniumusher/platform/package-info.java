/** Speaks with the platform: the object API with its versions, conditional updates and watches. */
package org.geraniumusher.platform;
