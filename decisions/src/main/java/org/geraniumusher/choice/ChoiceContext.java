package org.geraniumusher.choice;

import java.util.random.RandomGenerator;

/**
 * Carries what a choice needs besides the servers. Immutable, but the random source is not.
 *
 * @param turn number of choices made before
 */
record ChoiceContext(int turn, boolean idempotent, long nowNanos, RandomGenerator random) {}
