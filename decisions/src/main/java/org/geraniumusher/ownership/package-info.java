/**
 * Decides which backend server owns which slice: coordinator, authority, grants, moves and the
 * backend server's side of a grant. Section 4 of the design page is the specification.
 *
 * <p>A daemon runs one {@link org.geraniumusher.ownership.ShardMember} for each keyed service. It
 * passes on events with the time of its monotonic clock, in nanoseconds, and carries out the
 * returned commands in their order:
 *
 * <ul>
 *   <li>{@code onTick} every 20 ms or so; a gap of more than 500 ms counts as a pause.
 *   <li>{@code onMembers} with all live daemons, this one included, at the start and on each
 *       change; {@code onMemberGone} when the platform no longer lists a run of a daemon.
 *   <li>{@code onServersChanged} with all servers that the service selects and those being drained.
 *       A drained server stays in the list, marked as not serving, until it owns nothing.
 *   <li>{@code onState} for each state that a watch or another daemon reports. Daemons outside the
 *       group learn states in no other way, so {@code known} has to be disseminated to all.
 *   <li>Exactly one answer to each read and write of the store. A call without an answer ends as
 *       unavailable or unknown; the member starts no other call before.
 *   <li>{@code onServerStatus} for each answer to a poll, never for a poll without one. Polls may
 *       name servers that are no longer configured; those may stay without an answer.
 * </ul>
 *
 * <p>Daemons are named in the stored state as {@code name@incarnation}.
 */
package org.geraniumusher.ownership;
