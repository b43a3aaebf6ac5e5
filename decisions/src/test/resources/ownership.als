/*
 * Ownership of one slice: section 4 of docs/design.md. docs/model.md states what is left out.
 *
 * A step is at most one action of one member, while the clock may advance and any server or
 * gateway may accept a grant or restart. A rule in `Off` is not obeyed: the seeded faults.
 */
module ownership

open util/ordering[Time] as time
open util/ordering[State] as state
open util/ordering[Member] as member

abstract sig Rule {}
one sig Majority, WaitForLapse, VersionCheck, ReadBack, ConditionalUpdate, CutGrant,
    CutTableLease, ProofOfStop, FencedOnly, FreshAuthority, FenceBeforeAck extends Rule {}
sig Off in Rule {}

sig Time {}

/** A state of the shard. Two states may compete for one version; the store takes one of them. */
sig State {
  base: lone State,         -- the state that its writer had read
  above: set State,         -- the states of higher versions
  writer: one Member,
  owner: one Server,
  previous: lone Server,    -- former owner that may still hold a grant
  assigned: one State,      -- the state that assigned the slice to this owner
  group: some Member,       -- coordinator and standbys
  var fenced: lone Time     -- when a majority of the group had acknowledged a higher version
}
one sig First extends State {}

sig Member {
  var knows: one State,     -- newest state heard of; it acknowledges no lower version
  var sent: lone Time,      -- when it sent the request that gave it authority for `knows`
  var unsure: lone State    -- its write whose answer was lost
}
var sig Renewing in Member {}   -- given authority in this step

/** Whoever is given a grant: a fenced server, or a gateway, whose grant is its table lease. */
abstract sig Holder {
  var accepted: lone State,
  var expiry: lone Time,
  var renewed: set Member   -- members with authority requested after the holder's last start
}
sig Server, Gateway extends Holder {}
sig Unfenced in Server {}
var sig Restarting in Holder {}

one sig World {
  var now: one Time,
  var stored: one State,
  var grants: State -> Holder -> Time   -- sent; any may arrive late, again or never
}

fact Shapes {
  First = state/first and First.next.writer = member/first   -- breaks symmetries only
  all s: State | s.above = {t: State | #t.^base > #s.^base}
  no First.base and no First.previous and First.assigned = First
  First.group = Member
  all s: State - First | some s.base and s.base in s.prevs
  all s: State - First | s.owner = s.base.owner
    implies s.previous in s.base.previous and s.assigned = s.base.assigned
    else s.previous = s.base.owner and s.assigned = s
}

-- Leases and majorities

fun leaseEnd[t: Time]: lone Time { t = time/last implies t else t.next }
pred past[t: Time] { World.now in t.nexts }
pred majority[some1, all1: set Member] { #(some1 & all1) > #(all1 - some1) }
fun acknowledged[s: State]: set Member { {m: Member | m.knows in s.above} }
pred hasAuthority[m: Member] { some m.sent and not past[leaseEnd[m.sent]] }

/** Servers that run requests for the slice now. */
fun gate[s: Server]: set Holder { s in Unfenced implies Gateway else s }
fun serving: set Server {
  {s: Server | some h: gate[s] | h.accepted.owner = s and some h.expiry and not past[h.expiry]}
}

/** The previous owner of s cannot serve any more: it has acknowledged, or its leases lapsed. */
pred stopped[s: State] {
  no s.previous or ProofOfStop in Off or lapsed[s] or acknowledgedStop[s]
    or (FencedOnly in Off and s.previous in Unfenced)
}
pred lapsed[s: State] {
  all o: s.assigned.^base | some o.fenced and (WaitForLapse in Off or past[leaseEnd[o.fenced]])
}
pred acknowledgedStop[s: State] {
  s.previous not in Unfenced
  some s.previous.accepted and s.assigned not in s.previous.accepted.above
  FenceBeforeAck in Off or all o: s.assigned.^base | some o.fenced
}

-- Actions of a member

/*
 * A frozen member takes no action for any number of steps and wakes with what it knew; a member
 * that is gone never acts again. A store outage is any number of steps without write or read.
 */

/** m asks n to acknowledge its version; a majority of the group gives it authority. */
pred ask[m, n: Member] {
  n.knows = m.knows or m.knows in n.knows.above
  let learn = {x: n | x.knows != m.knows} {
    knows' = knows ++ (learn -> m.knows)
    m in m.knows.group and (Majority in Off or majority[m + n, m.knows.group])
      implies sent' = (sent - learn -> Time) ++ m -> World.now and Renewing = m
      else sent' = sent - learn -> Time and no Renewing
  }
  unsure' = unsure and stored' = stored and send[none -> none -> none]
}

/** m writes s; the store may refuse it, and the answer may be lost either way. */
pred write[m: Member, s: State] {
  m = s.writer and s.base = m.knows and no m.unsure and no Renewing
  s.previous != s.base.previous implies stopped[s.base]
  let taken = {w: World | ConditionalUpdate in Off or w.stored = s.base} {
    (some taken and stored' = World -> s and knows' = knows ++ m -> s
        and sent' = sent - m -> Time and unsure' = unsure)
    or (stored' in stored + taken -> s and knows' = knows and sent' = sent
        and unsure' = unsure + m -> s)
  }
  send[none -> none -> none]
}

/** m reads the shard's state, which also settles a write whose answer was lost. */
pred read[m: Member] {
  let s = ReadBack in Off and some m.unsure implies m.unsure else World.stored {
    m.knows in s.above or s = m.knows
      implies knows' = knows and sent' = sent
      else knows' = knows ++ m -> s and sent' = sent - m -> Time
  }
  unsure' = unsure - m -> State and stored' = stored and send[none -> none -> none] and no Renewing
}

/** m sends h the grant of its version; h may serve by it only if the former owner has stopped. */
pred grant[m: Member, h: Holder] {
  hasAuthority[m] and h not in Unfenced and no Renewing
  h in gate[m.knows.owner] implies stopped[m.knows]
  m in h.renewed or h in Gateway or FreshAuthority in Off
  let t = cut[h] in Off implies World.now else m.sent | send[m.knows -> h -> leaseEnd[t]]
  knows' = knows and sent' = sent and unsure' = unsure and stored' = stored
}
fun cut[h: Holder]: Rule { h in Gateway implies CutTableLease else CutGrant }
pred send[g: State -> Holder -> Time] {
  grants' = grants + World -> g - World -> State -> Restarting -> Time
}
pred idle {
  knows' = knows and sent' = sent and unsure' = unsure and stored' = stored
  send[none -> none -> none] and no Renewing
}

-- Servers, gateways and the clock

pred receive[h: Holder] {
  (h.accepted' = h.accepted and h.expiry' = h.expiry) or some s: State, t: Time {
    s -> h -> t in World.grants
    VersionCheck in Off or no h.accepted & s.above
    h.accepted' = s and h.expiry' = t
  }
  h.renewed' = h.renewed + Renewing
}
pred restart[h: Holder] { no h.accepted' and no h.expiry' and no h.renewed' }
pred recordFence[s: State] {
  s.fenced' = (no s.fenced and after majority[acknowledged[s], s.group] implies World.now else s.fenced)
}

fact Init {
  stored = World -> First and knows = Member -> First and no unsure and no fenced
  now = World -> time/first and sent in Member -> time/first and renewed = Holder -> Member
  grants = World -> First -> Holder -> leaseEnd[time/first]
  all h: Holder | no h.accepted and no h.expiry or h.accepted = First and h.expiry = time/first.next
}
pred still { idle and accepted' = accepted and expiry' = expiry and now' = now and no Restarting }
fact Steps {
  always {
    still implies after still   -- drops only traces that differ by pauses
    idle or some m: Member {
      read[m] or (some n: Member | ask[m, n])
      or (some s: State | write[m, s]) or (some h: Holder | grant[m, h])
    }
    all h: Holder | h in Restarting implies restart[h] else receive[h]
    all s: State | recordFence[s]
    World.now' in World.now + World.now.next
  }
}

-- What must hold

pred oneServer { always lone serving }
pred nothingUndone {
  always (Member.knows in World.stored.*base and World.stored in (World.stored').*base)
}

pred moved { some m: Member | m.knows.assigned != First and serving = m.knows.owner }

-- Commands: the complete protocol, then one rule switched off at a time

pred fencedServers { no Unfenced and no Gateway }
pred mixedServers { one Unfenced and one Gateway }
pred unfencedServers { Server = Unfenced }

run Move { no Off and fencedServers and eventually moved }
  for 3 but exactly 3 Member, exactly 3 State, exactly 2 Server, 0 Gateway, 3 Time, exactly 8 steps expect 1
run MoveOfUnfenced { no Off and unfencedServers and eventually moved }
  for 3 but exactly 3 Member, exactly 3 State, exactly 2 Server, 2 Gateway, 3 Time, exactly 8 steps expect 1
check OneServer { no Off and fencedServers implies oneServer }
  for 3 but exactly 3 Member, exactly 3 State, exactly 2 Server, 0 Gateway, 3 Time, exactly 8 steps expect 0
check OneServerDeep { no Off and fencedServers implies oneServer }
  for 3 but exactly 3 Member, exactly 3 State, exactly 2 Server, 0 Gateway, 2 Time, exactly 9 steps expect 0
check OneServerMixed { no Off and mixedServers implies oneServer }
  for 3 but exactly 3 Member, exactly 3 State, exactly 2 Server, 1 Gateway, 3 Time, exactly 7 steps expect 0
check OneServerUnfenced { no Off and unfencedServers implies oneServer }
  for 3 but exactly 3 Member, exactly 3 State, exactly 2 Server, 2 Gateway, 3 Time, exactly 7 steps expect 0
check NothingUndone { no Off and fencedServers implies nothingUndone }
  for 3 but exactly 3 Member, exactly 3 State, exactly 2 Server, 0 Gateway, 3 Time, exactly 8 steps expect 0
check NoMajority { Off = Majority and fencedServers implies oneServer }
  for 3 but exactly 3 Member, exactly 3 State, exactly 2 Server, 0 Gateway, 3 Time, exactly 9 steps expect 1
check NoWaitForLapse { Off = WaitForLapse and fencedServers implies oneServer }
  for 3 but exactly 3 Member, exactly 3 State, exactly 2 Server, 0 Gateway, 3 Time, exactly 7 steps expect 1
check NoVersionCheck { Off = VersionCheck and fencedServers implies oneServer }
  for 3 but exactly 3 Member, exactly 3 State, exactly 2 Server, 0 Gateway, 3 Time, exactly 8 steps expect 1
check NoReadBack { Off = ReadBack and fencedServers implies oneServer }
  for 3 but exactly 3 Member, exactly 3 State, exactly 2 Server, 0 Gateway, 3 Time, exactly 8 steps expect 1
check NoReadBackUndone { Off = ReadBack and fencedServers implies nothingUndone }
  for 3 but exactly 3 Member, exactly 3 State, exactly 2 Server, 0 Gateway, 3 Time, exactly 7 steps expect 1
check NoConditionalUpdate { Off = ConditionalUpdate and fencedServers implies nothingUndone }
  for 3 but exactly 3 Member, exactly 3 State, exactly 2 Server, 0 Gateway, 3 Time, exactly 7 steps expect 1
check NoCutGrant { Off = CutGrant and fencedServers implies oneServer }
  for 3 but exactly 3 Member, exactly 3 State, exactly 2 Server, 0 Gateway, 3 Time, exactly 7 steps expect 1
check NoCutTableLease { Off = CutTableLease and mixedServers implies oneServer }
  for 3 but exactly 3 Member, exactly 3 State, exactly 2 Server, 1 Gateway, 3 Time, exactly 7 steps expect 1
check NoProofOfStop { Off = ProofOfStop and fencedServers implies oneServer }
  for 3 but exactly 3 Member, exactly 3 State, exactly 2 Server, 0 Gateway, 3 Time, exactly 7 steps expect 1
check NoFencedOnly { Off = FencedOnly and mixedServers implies oneServer }
  for 3 but exactly 3 Member, exactly 3 State, exactly 2 Server, 1 Gateway, 3 Time, exactly 7 steps expect 1
check NoFreshAuthority { Off = FreshAuthority and fencedServers implies oneServer }
  for 3 but exactly 3 Member, exactly 3 State, exactly 2 Server, 0 Gateway, 2 Time, exactly 8 steps expect 1
check NoFenceBeforeAck { Off = FenceBeforeAck and fencedServers implies oneServer }
  for 3 but exactly 3 Member, exactly 3 State, exactly 2 Server, 0 Gateway, 2 Time, exactly 9 steps expect 1
