/*
 * Grants of one key range by successive coordinators, docs/model.md.
 *
 * A grant lasts one instant, or two while the store does not answer. Elections are not modelled: one
 * coordinator acts at a time, and another may follow it at any step.
 */
module keyranges

open util/ordering[Instant] as time

sig Instant {}

sig Server {
  // End of the hold.
  var holdEnd: lone Instant
}

one sig Clock { var now: one Instant }

// The assignment as the store has it.
one sig Table {
  var owner: one Server,
  var former: set Server
}

// What the coordinator acts on. It hears of its own write some time after the store took it.
one sig View {
  var owner: one Server,
  var former: set Server,
  // Ends of the grants that were sent in this term.
  var sent: Server -> lone Instant,
  // Bound of all grants of former coordinators.
  var inherited: one Instant
}

// Another daemon, which remembers from when on a former holder gets no grants.
one sig Memory { var formerFrom: Server -> lone Instant }

// Each switches one rule off.
lone sig InheritedHoldOff, ConfirmationOff, WaitOff, FormerHolderOff {}

pred complete { no InheritedHoldOff + ConfirmationOff + WaitOff + FormerHolderOff }

pred holds[s: Server] { some s.holdEnd and lt[Clock.now, s.holdEnd] }

fun longHold[t: Instant]: Instant { some t.next.next => t.next.next else last }

fun shortHold[t: Instant]: Instant { some t.next => t.next else last }

fun later[a, b: Instant]: Instant { some a and (no b or gte[a, b]) => a else b }

pred aware { View.owner = Table.owner and View.former = Table.former }

pred init {
  no holdEnd
  Clock.now = first
  no Table.former and no View.former and View.owner = Table.owner
  no View.sent and View.inherited = first
  no Memory.formerFrom
}

pred tableStays { Table.owner' = Table.owner and Table.former' = Table.former }

pred viewStays { View.owner' = View.owner and View.former' = View.former }

pred termStays { View.sent' = View.sent and View.inherited' = View.inherited }

pred tick {
  some Clock.now.next and Clock.now' = Clock.now.next
  holdEnd' = holdEnd and tableStays and viewStays and termStays and formerFrom' = formerFrom
}

// Sends a grant, which may be a renewal, to the owner in the view.
pred grant {
  no View.former
  some end: shortHold[Clock.now] + longHold[Clock.now] {
    holdEnd' = holdEnd ++ View.owner -> later[View.owner.holdEnd, end]
    View.sent' = View.sent ++ View.owner -> later[View.owner.(View.sent), end]
  }
  View.inherited' = View.inherited
  Clock.now' = Clock.now and tableStays and viewStays and formerFrom' = formerFrom
}

fun formerAfterMove: set Server {
  some FormerHolderOff => View.former else View.former + View.owner
}

// The store takes a move; the coordinator has not heard of it yet.
pred write {
  aware
  some target: Server - Table.owner {
    Table.owner' = target
    Table.former' = formerAfterMove
    some ConfirmationOff
      implies Memory.formerFrom' = Memory.formerFrom
        + (View.owner - (Memory.formerFrom).Instant) -> Clock.now
      else Memory.formerFrom' = Memory.formerFrom - target -> Instant
  }
  holdEnd' = holdEnd and Clock.now' = Clock.now and viewStays and termStays
}

// The coordinator hears of its write and sends the table to the daemons.
pred adopt {
  not aware
  View.owner' = Table.owner and View.former' = Table.former
  Memory.formerFrom' = Table.former <: Memory.formerFrom
    + (Table.former - (Memory.formerFrom).Instant) -> Clock.now
  holdEnd' = holdEnd and Clock.now' = Clock.now and tableStays and termStays
}

pred dropped[s: Server] {
  View.former' = View.former - s and Table.former' = Table.former - s
  View.owner' = View.owner and Table.owner' = Table.owner
  Clock.now' = Clock.now and termStays
  Memory.formerFrom' = Memory.formerFrom - s -> Instant
}

pred release {
  aware
  some s: View.former {
    holdEnd' = holdEnd - s -> Instant
    dropped[s]
  }
}

pred formerGrantsEnded[s: Server] {
  gte[Clock.now, View.inherited]
  or (some s.(Memory.formerFrom) and gte[Clock.now, longHold[s.(Memory.formerFrom)]])
}

pred termGrantsEnded[s: Server] {
  no s.(View.sent) or gte[Clock.now, s.(View.sent)]
}

// The hold of a former holder has run out.
pred expire {
  aware
  some s: View.former {
    some WaitOff
      or (termGrantsEnded[s]
        and (formerGrantsEnded[s] or (some InheritedHoldOff and some s.(View.sent))))
    holdEnd' = holdEnd
    dropped[s]
  }
}

// Another coordinator follows, with the memory of a daemon that has been there all the time.
pred takeover {
  View.owner' = Table.owner and View.former' = Table.former
  no View.sent' and View.inherited' = longHold[Clock.now]
  holdEnd' = holdEnd and Clock.now' = Clock.now and tableStays and formerFrom' = formerFrom
}

pred idle {
  holdEnd' = holdEnd and Clock.now' = Clock.now and tableStays and viewStays and termStays
  formerFrom' = formerFrom
}

fact trace {
  init
  always (tick or grant or write or adopt or release or expire or takeover or idle)
}

pred twoHolders { not lone s: Server | holds[s] }

assert oneHolder { complete implies always not twoHolders }

OneHolder: check oneHolder for 3 but 8 steps, 4 Instant expect 0
OneHolderDeep: check oneHolder for 2 but 9 steps, 4 Instant expect 0

Move: run {
  complete
  some disj a, b: Server | eventually (holds[a] and eventually holds[b])
} for 2 but 8 steps, 4 Instant expect 1

MoveAfterTakeover: run {
  complete
  some disj a, b: Server |
    eventually (holds[a] and eventually (takeover and eventually (expire and eventually holds[b])))
} for 2 but 10 steps, 4 Instant expect 1

// The owner still holds by a longer grant of the coordinator before.
NoInheritedHold: run {
  some InheritedHoldOff and no ConfirmationOff + WaitOff + FormerHolderOff
  eventually twoHolders
} for 2 but 9 steps, 3 Instant expect 1

// The writer has not heard of its write and renews the former owner.
NoConfirmation: run {
  some ConfirmationOff and no InheritedHoldOff + WaitOff + FormerHolderOff
  eventually twoHolders
} for 2 but 8 steps, 4 Instant expect 1

NoWait: run {
  some WaitOff and no InheritedHoldOff + ConfirmationOff + FormerHolderOff
  eventually twoHolders
} for 2 but 7 steps, 4 Instant expect 1

NoFormerHolder: run {
  some FormerHolderOff and no InheritedHoldOff + ConfirmationOff + WaitOff
  eventually twoHolders
} for 2 but 7 steps, 4 Instant expect 1
