/** Formats and reads what daemons exchange with operators: JSON bodies, errors and metrics. */
package org.geraniumusher.operator;
