/*
 * Model of the grants of one key range by successive coordinators; see docs/model.md.
 *
 * A grant lasts one instant, or two while the store is unavailable. Elections are not modelled: one
 * coordinator acts at a time, and another may take over at any step. The store may be restored from
 * a backup; a coordinator that acts then goes on until another one takes over.
 */
module keyranges

open util/ordering[Instant] as time

sig Instant {}

sig Server {
  // The instant at which the hold ends.
  var holdEnd: lone Instant
}

// The servers that have ended. They hold nothing and execute no calls.
var sig Ended in Server {}

one sig Clock { var now: one Instant }

one sig Yes {}

// The assignment in the store.
one sig Table {
  var owner: one Server,
  var former: set Server,
  // Whether it was sent in an earlier epoch than that of the store.
  var ofLostEpoch: lone Yes
}

// An earlier state of the table, to which a restore goes back.
one sig Backup {
  var owner: one Server,
  var former: set Server
}

// A write of the lost history whose execution, or whose answer, is still to come.
one sig LostWrite {
  var owner: lone Server,
  var former: set Server
}

// A grant without an answer that its server may still execute, unless it has seen a higher fence.
one sig LateGrant {
  var to: lone Server,
  var end: lone Instant,
  // Whether a former coordinator sent it.
  var ofFormerTerm: lone Yes
}

// The state that the coordinator acts on. It learns of its own write some time after the store
// accepted it.
one sig View {
  var owner: one Server,
  var former: set Server,
  // The latest end of the grants sent to each server in this term.
  var grantEnd: Server -> lone Instant,
  // The servers that got a grant of this term without an answer.
  var unanswered: set Server,
  // The servers that accepted a grant of this term, so that they refuse those of earlier terms.
  var accepted: set Server,
  // Upper bound of the ends of all grants of former coordinators.
  var formerGrantsBound: one Instant,
  // Whether the store accepted a write of which the coordinator has not learned yet.
  var writeAccepted: lone Yes,
  // Whether that write belongs to the lost history.
  var lostWriteAccepted: lone Yes,
  // The instant before which a coordinator that started from a table of a lost epoch waits.
  var blockedUntil: lone Instant
}

// Another daemon. It records from which instant on each former holder receives no grants.
one sig Observer { var noGrantsFrom: Server -> lone Instant }

// Each of these switches off one rule.
lone sig InheritedHoldOff, ConfirmationOff, WaitOff, FormerHolderOff,
  RestoreWaitOff, UnnamedHolderOff, EpochOfAnswerOff, EpochOfWriteOff, FormerLateGrantOff,
  ProofOfEndOff {}

fun switchedOff: univ {
  InheritedHoldOff + ConfirmationOff + WaitOff + FormerHolderOff
    + RestoreWaitOff + UnnamedHolderOff + EpochOfAnswerOff + EpochOfWriteOff
    + FormerLateGrantOff + ProofOfEndOff
}

pred allRulesOn { no switchedOff }

pred onlyOff[rule: univ] { some rule and switchedOff = rule }

pred holdsRange[s: Server] { some s.holdEnd and lt[Clock.now, s.holdEnd] }

fun longHold[t: Instant]: Instant { some t.next.next => t.next.next else last }

fun shortHold[t: Instant]: Instant { some t.next => t.next else last }

fun laterOf[a, b: Instant]: Instant { some a and (no b or gte[a, b]) => a else b }

pred viewIsCurrent { View.owner = Table.owner and View.former = Table.former }

pred init {
  no holdEnd and no Ended
  Clock.now = first
  no Table.former and no View.former and View.owner = Table.owner
  no View.grantEnd and View.formerGrantsBound = first
  no Observer.noGrantsFrom
  no LateGrant.to and no LateGrant.end and no LateGrant.ofFormerTerm
  no View.unanswered and no View.accepted
  Backup.owner = Table.owner and no Backup.former
  no LostWrite.owner and no LostWrite.former
  no ofLostEpoch and no writeAccepted and no lostWriteAccepted and no blockedUntil
}

pred tableUnchanged {
  Table.owner' = Table.owner and Table.former' = Table.former and ofLostEpoch' = ofLostEpoch
}

pred answersUnchanged {
  writeAccepted' = writeAccepted and lostWriteAccepted' = lostWriteAccepted
}

pred lostUnchanged {
  Backup.owner' = Backup.owner and Backup.former' = Backup.former
  LostWrite.owner' = LostWrite.owner and LostWrite.former' = LostWrite.former
}

pred epochUnchanged {
  lostUnchanged and answersUnchanged and blockedUntil' = blockedUntil
}

pred viewUnchanged { View.owner' = View.owner and View.former' = View.former }

pred lateGrantUnchanged {
  LateGrant.to' = LateGrant.to and LateGrant.end' = LateGrant.end
  LateGrant.ofFormerTerm' = LateGrant.ofFormerTerm
}

pred lateGrantGone { no LateGrant.to' and no LateGrant.end' and no LateGrant.ofFormerTerm' }

pred termUnchanged {
  lateGrantUnchanged
  View.grantEnd' = View.grantEnd and unanswered' = unanswered and accepted' = accepted
  View.formerGrantsBound' = View.formerGrantsBound
}

pred tick {
  some Clock.now.next and Clock.now' = Clock.now.next
  holdEnd' = holdEnd and tableUnchanged and viewUnchanged and termUnchanged
  noGrantsFrom' = noGrantsFrom and epochUnchanged
}

// The coordinator sends a grant, which may be a renewal, to the owner in its view.
pred grant {
  no View.former and no View.blockedUntil and View.owner not in Ended
  some end: shortHold[Clock.now] + longHold[Clock.now] {
    holdEnd' = holdEnd ++ View.owner -> laterOf[View.owner.holdEnd, end]
    View.grantEnd' = View.grantEnd ++ View.owner -> laterOf[View.owner.(View.grantEnd), end]
  }
  View.formerGrantsBound' = View.formerGrantsBound
  View.accepted' = View.accepted + View.owner and unanswered' = unanswered
  (LateGrant.to = View.owner and some LateGrant.ofFormerTerm)
    implies lateGrantGone
    else lateGrantUnchanged
  Clock.now' = Clock.now and tableUnchanged and viewUnchanged and noGrantsFrom' = noGrantsFrom
  epochUnchanged
}

// The coordinator gets no answer to a grant, which the owner may execute at a later step.
pred grantWithoutAnswer {
  no View.former and no View.blockedUntil and no LateGrant.to
  LateGrant.to' = View.owner and no LateGrant.ofFormerTerm'
  LateGrant.end' in shortHold[Clock.now] + longHold[Clock.now] and some LateGrant.end'
  View.grantEnd' =
    View.grantEnd ++ View.owner -> laterOf[View.owner.(View.grantEnd), LateGrant.end']
  View.unanswered' = View.unanswered + View.owner and accepted' = accepted
  View.formerGrantsBound' = View.formerGrantsBound and holdEnd' = holdEnd
  Clock.now' = Clock.now and tableUnchanged and viewUnchanged and noGrantsFrom' = noGrantsFrom
  epochUnchanged
}

pred executeLateGrant {
  some LateGrant.to - Ended
  holdEnd' = holdEnd ++ LateGrant.to -> laterOf[LateGrant.to.holdEnd, LateGrant.end]
  lateGrantGone
  View.grantEnd' = View.grantEnd and unanswered' = unanswered and accepted' = accepted
  View.formerGrantsBound' = View.formerGrantsBound
  Clock.now' = Clock.now and tableUnchanged and viewUnchanged and noGrantsFrom' = noGrantsFrom
  epochUnchanged
}

fun formerAfterMove: set Server {
  some FormerHolderOff => View.former else View.former + View.owner
}

// The store accepts a move; the coordinator has not learned of it yet.
pred write {
  viewIsCurrent and no Table.ofLostEpoch and no View.writeAccepted and no View.blockedUntil
  View.writeAccepted' = Yes and lostWriteAccepted' = lostWriteAccepted
  lostUnchanged and ofLostEpoch' = ofLostEpoch and blockedUntil' = blockedUntil
  some target: Server - Table.owner {
    Table.owner' = target
    Table.former' = formerAfterMove
    some ConfirmationOff
      implies Observer.noGrantsFrom' = Observer.noGrantsFrom
        + (View.owner - (Observer.noGrantsFrom).Instant) -> Clock.now
      else Observer.noGrantsFrom' = Observer.noGrantsFrom - target -> Instant
  }
  holdEnd' = holdEnd and Clock.now' = Clock.now and viewUnchanged and termUnchanged
}

// The coordinator learns that its write was accepted and sends the table to the daemons.
pred learnOfWrite {
  some View.writeAccepted
  no writeAccepted' and lostWriteAccepted' = lostWriteAccepted
  lostUnchanged and blockedUntil' = blockedUntil
  View.owner' = Table.owner and View.former' = Table.former
  Observer.noGrantsFrom' = Table.former <: Observer.noGrantsFrom
    + (Table.former - (Observer.noGrantsFrom).Instant) -> Clock.now
  holdEnd' = holdEnd and Clock.now' = Clock.now and tableUnchanged and termUnchanged
}

// The coordinator goes on from its own table also when the store has lost it.
pred removeFormer[s: Server] {
  no View.writeAccepted and no View.blockedUntil
  View.former' = View.former - s
  viewIsCurrent and no Table.ofLostEpoch
    implies Table.former' = Table.former - s
    else Table.former' = Table.former
  View.owner' = View.owner and Table.owner' = Table.owner
  ofLostEpoch' = ofLostEpoch and epochUnchanged
  Clock.now' = Clock.now and termUnchanged
  Observer.noGrantsFrom' = Observer.noGrantsFrom - s -> Instant
}

// A release ends a hold only if no grant without an answer can start it again.
pred release {
  some s: View.former {
    lateGrantsEnded[s]
    holdEnd' = holdEnd - s -> Instant
    removeFormer[s]
  }
}

pred lateGrantsEnded[s: Server] {
  s in View.accepted or formerGrantsEnded[s] or some FormerLateGrantOff
  s not in View.unanswered or termGrantsEnded[s]
}

pred formerGrantsEnded[s: Server] {
  gte[Clock.now, View.formerGrantsBound]
  or (some s.(Observer.noGrantsFrom) and gte[Clock.now, longHold[s.(Observer.noGrantsFrom)]])
}

pred termGrantsEnded[s: Server] {
  no s.(View.grantEnd) or gte[Clock.now, s.(View.grantEnd)]
}

// The hold of a former holder has run out.
pred expire {
  some s: View.former {
    some WaitOff
      or (termGrantsEnded[s]
        and (formerGrantsEnded[s] or (some InheritedHoldOff and some s.(View.grantEnd))))
    holdEnd' = holdEnd
    removeFormer[s]
  }
}

// A server ends at any time, with its hold.
pred serverEnds {
  some s: Server - Ended {
    Ended' = Ended + s
    holdEnd' = holdEnd - s -> Instant
  }
  Clock.now' = Clock.now and noGrantsFrom' = noGrantsFrom
  tableUnchanged and viewUnchanged and termUnchanged and epochUnchanged
}

// Another server answers at the address of a former holder, which proves that the former holder has
// ended. A refused connection or a later entry in the store shows nothing: with the rule switched
// off, such a sign counts as the proof.
pred proveEnd {
  some s: View.former {
    s in Ended or some ProofOfEndOff
    holdEnd' = holdEnd
    removeFormer[s]
  }
}

// Another coordinator takes over, with the records of a daemon that has been running all the time.
pred takeover {
  View.owner' = Table.owner and View.former' = Table.former
  no View.grantEnd' and View.formerGrantsBound' = longHold[Clock.now]
  no View.unanswered' and no View.accepted'
  LateGrant.to' = LateGrant.to and LateGrant.end' = LateGrant.end
  some LateGrant.to implies LateGrant.ofFormerTerm' = Yes else no LateGrant.ofFormerTerm'
  holdEnd' = holdEnd and Clock.now' = Clock.now and tableUnchanged and noGrantsFrom' = noGrantsFrom
  no writeAccepted' and no lostWriteAccepted' and lostUnchanged
  some Table.ofLostEpoch
    implies View.blockedUntil' = longHold[Clock.now]
    else no View.blockedUntil'
}

pred backup {
  Backup.owner' = Table.owner and Backup.former' = Table.former
  LostWrite.owner' = LostWrite.owner and LostWrite.former' = LostWrite.former
  holdEnd' = holdEnd and Clock.now' = Clock.now and noGrantsFrom' = noGrantsFrom
  tableUnchanged and viewUnchanged and termUnchanged
  answersUnchanged and blockedUntil' = blockedUntil
}

// The store goes back to the backup. A write of the lost history may be executed or answered later.
pred restore {
  Table.owner' = Backup.owner and Table.former' = Backup.former and Table.ofLostEpoch' = Yes
  Backup.owner' = Backup.owner and Backup.former' = Backup.former
  no writeAccepted' and View.lostWriteAccepted' = View.writeAccepted + View.lostWriteAccepted
  some View.writeAccepted
    implies (LostWrite.owner' = Table.owner and LostWrite.former' = Table.former)
    else (LostWrite.owner' = LostWrite.owner and LostWrite.former' = LostWrite.former
      or (no View.lostWriteAccepted and no View.blockedUntil
        and LostWrite.owner' in Server - View.owner and some LostWrite.owner'
        and LostWrite.former' = formerAfterMove))
  holdEnd' = holdEnd and Clock.now' = Clock.now and noGrantsFrom' = noGrantsFrom
  viewUnchanged and termUnchanged and blockedUntil' = blockedUntil
}

// The coordinator learns that a write of the lost history was accepted.
pred learnOfLostWrite {
  some View.lostWriteAccepted
  View.owner' = LostWrite.owner and View.former' = LostWrite.former
  Observer.noGrantsFrom' = LostWrite.former <: Observer.noGrantsFrom
    + (LostWrite.former - (Observer.noGrantsFrom).Instant) -> Clock.now
  no lostWriteAccepted' and writeAccepted' = writeAccepted
  lostUnchanged and blockedUntil' = blockedUntil
  holdEnd' = holdEnd and Clock.now' = Clock.now and tableUnchanged and termUnchanged
}

// The store executes a write of the lost history after the restore.
pred lateWrite {
  some LostWrite.owner and no View.writeAccepted
  Table.owner' = LostWrite.owner and Table.former' = LostWrite.former
  some EpochOfWriteOff
    implies ofLostEpoch' = ofLostEpoch
    else Table.ofLostEpoch' = Yes
  no LostWrite.owner' and no LostWrite.former'
  Backup.owner' = Backup.owner and Backup.former' = Backup.former
  no lostWriteAccepted' and no writeAccepted'
  holdEnd' = holdEnd and Clock.now' = Clock.now and noGrantsFrom' = noGrantsFrom
  viewUnchanged and termUnchanged and blockedUntil' = blockedUntil
}

// A coordinator that still acts writes its own table in the epoch of the store.
pred claim {
  some Table.ofLostEpoch and no View.blockedUntil
  Table.owner' = View.owner and Table.former' = View.former and no ofLostEpoch'
  Observer.noGrantsFrom' = View.former <: Observer.noGrantsFrom
  no writeAccepted'
  some EpochOfAnswerOff
    implies lostWriteAccepted' = lostWriteAccepted
    else no lostWriteAccepted'
  lostUnchanged and blockedUntil' = blockedUntil
  holdEnd' = holdEnd and Clock.now' = Clock.now and viewUnchanged and termUnchanged
}

pred lostGrantsEnded {
  gte[Clock.now, View.blockedUntil]
  or some RestoreWaitOff
  or (some UnnamedHolderOff and no s: Table.owner + Table.former | holdsRange[s])
}

// A coordinator that took over after a restore has waited, and writes the table in its epoch.
pred adopt {
  some View.blockedUntil and some Table.ofLostEpoch and viewIsCurrent and lostGrantsEnded
  no ofLostEpoch' and no blockedUntil'
  Observer.noGrantsFrom' = Table.former <: Observer.noGrantsFrom
  Table.owner' = Table.owner and Table.former' = Table.former
  answersUnchanged and lostUnchanged
  holdEnd' = holdEnd and Clock.now' = Clock.now and viewUnchanged and termUnchanged
}

pred stutter {
  holdEnd' = holdEnd and Clock.now' = Clock.now and noGrantsFrom' = noGrantsFrom
  tableUnchanged and viewUnchanged and termUnchanged and epochUnchanged
}

fact trace {
  init
  always (serverEnds or (Ended' = Ended
    and (tick or grant or write or learnOfWrite or release or expire or takeover or stutter
      or backup or restore or learnOfLostWrite or lateWrite or claim or adopt
      or grantWithoutAnswer or executeLateGrant or proveEnd)))
}

pred twoHolders { not lone s: Server | holdsRange[s] }

// Runs without late grants need no rule for them. It is off there, as it would hide other faults.
pred noLateGrants[off: univ] {
  always not grantWithoutAnswer
  some FormerLateGrantOff and switchedOff = off + FormerLateGrantOff
}

pred noRestores { always not (backup or restore) }

assert oneHolder { noLateGrants[none] implies always not twoHolders }

OneHolder: check oneHolder for 3 but 8 steps, 4 Instant expect 0
OneHolderDeep: check oneHolder for 2 but 9 steps, 4 Instant expect 0

LateGrants: check {
  allRulesOn and noRestores implies always not twoHolders
} for 2 but 9 steps, 3 Instant expect 0

// A grant of a former coordinator is executed after a release.
NoFormerLateGrant: run {
  onlyOff[FormerLateGrantOff] and noRestores
  eventually twoHolders
} for 2 but 8 steps, 3 Instant expect 1

// After a grant of the new term a release ends the hold at once.
FencedMoveAfterTakeover: run {
  allRulesOn and noRestores and always not tick
  grantWithoutAnswer ; takeover ; grant ; write ; learnOfWrite ; release ; grant
  some disj a, b: Server | eventually (holdsRange[a] and eventually holdsRange[b])
} for 2 but 9 steps, 3 Instant expect 1

Move: run {
  noLateGrants[none] and noRestores
  some disj a, b: Server | eventually (holdsRange[a] and eventually holdsRange[b])
} for 2 but 8 steps, 4 Instant expect 1

MoveAfterTakeover: run {
  noLateGrants[none] and noRestores
  some disj a, b: Server |
    eventually (holdsRange[a]
      and eventually (takeover and eventually (expire and eventually holdsRange[b])))
} for 2 but 10 steps, 4 Instant expect 1

// The owner still has a hold from a longer grant of the previous coordinator.
NoInheritedHold: run {
  some InheritedHoldOff and noLateGrants[InheritedHoldOff] and noRestores
  eventually twoHolders
} for 2 but 9 steps, 3 Instant expect 1

// The writer has not learned of its own write and renews the grant of the former owner.
NoConfirmation: run {
  some ConfirmationOff and noLateGrants[ConfirmationOff] and noRestores
  eventually twoHolders
} for 2 but 8 steps, 4 Instant expect 1

NoWait: run {
  some WaitOff and noLateGrants[WaitOff] and noRestores
  eventually twoHolders
} for 2 but 7 steps, 4 Instant expect 1

// A former holder counts as ended by a sign that is no proof.
NoProofOfEnd: run {
  some ProofOfEndOff and noLateGrants[ProofOfEndOff] and noRestores
  eventually twoHolders
} for 2 but 7 steps, 4 Instant expect 1

// The proof of an end makes the wait for the hold needless.
MoveAfterEnd: run {
  noLateGrants[none] and noRestores and always not tick
  grant ; serverEnds ; write ; learnOfWrite ; proveEnd ; grant
  some disj a, b: Server | eventually (a in Ended and eventually holdsRange[b])
} for 2 but 8 steps, 3 Instant expect 1

NoFormerHolder: run {
  some FormerHolderOff and noLateGrants[FormerHolderOff] and noRestores
  eventually twoHolders
} for 2 but 7 steps, 4 Instant expect 1

MoveAfterRestore: run {
  noLateGrants[none]
  grant ; restore ; takeover ; tick ; tick ; adopt ; write ; learnOfWrite ; release ; grant
  some disj a, b: Server | eventually (holdsRange[a] and eventually holdsRange[b])
} for 2 but 12 steps, 4 Instant expect 1

ContinueAfterRestore: run {
  noLateGrants[none]
  write ; learnOfWrite ; release ; grant ; restore ; claim ; grant
  eventually (claim and some s: Server | holdsRange[s] and s not in Backup.owner)
} for 2 but 9 steps, 3 Instant expect 1

// The restored table does not name the holder, and the next coordinator grants from it at once.
NoRestoreWait: run {
  some RestoreWaitOff and noLateGrants[RestoreWaitOff]
  write ; learnOfWrite ; release ; grant
  eventually twoHolders
} for 2 but 9 steps, 3 Instant expect 1

// The next coordinator waits for the holds of the servers that the restored table names only.
NoUnnamedHolder: run {
  some UnnamedHolderOff and noLateGrants[UnnamedHolderOff]
  write ; learnOfWrite ; release ; grant
  eventually twoHolders
} for 2 but 9 steps, 3 Instant expect 1

// A coordinator that went on takes the answer of a lost write for one of the restored store.
NoEpochOfAnswer: run {
  some EpochOfAnswerOff and noLateGrants[EpochOfAnswerOff]
  write ; restore ; claim
  eventually twoHolders
} for 2 but 9 steps, 3 Instant expect 1

// A write of the lost history is executed after the keys moved on in the restored store.
pred lateWriteAfterMove { restore ; claim ; write ; learnOfWrite ; release ; grant ; lateWrite }

LateWriteAfterMove: check {
  noLateGrants[none] and lateWriteAfterMove implies always not twoHolders
} for 3 but 11 steps, 3 Instant expect 0

// A late write of the lost history counts as a table of the restored store.
NoEpochOfWrite: run {
  some EpochOfWriteOff and noLateGrants[EpochOfWriteOff]
  lateWriteAfterMove and eventually twoHolders
} for 3 but 11 steps, 2 Instant expect 1
