/*
 * Model of the fences of one key range when the store is restored; see docs/model.md.
 *
 * A fence is the version of the write that stored the assignment: the epoch of the store and the
 * revision. Revisions are given out again after a restore.
 */
module storefences

open util/ordering[Epoch] as epochs
open util/ordering[Revision] as revisions

sig Epoch {}

sig Revision {}

one sig Store {
  var epoch: one Epoch,
  var revision: one Revision
}

// The revision of the state to which a restore goes back.
one sig Backup { var revision: one Revision }

// Fences of all assignments that were granted, and the fence of the last one.
one sig Grants {
  var fences: Epoch -> Revision,
  var lastEpoch: lone Epoch,
  var lastRevision: lone Revision
}

// Switches off the epoch in fences.
lone sig EpochOff {}

pred init {
  Store.epoch = epochs/first and Store.revision = revisions/first
  Backup.revision = revisions/first
  no fences and no lastEpoch and no lastRevision
}

// The store accepts a write of the table, and the owner is granted the range with its fence.
pred writeAndGrant {
  some Store.revision.(revisions/next)
  Store.revision' = Store.revision.(revisions/next) and Store.epoch' = Store.epoch
  Backup.revision' = Backup.revision
  Grants.lastEpoch' = Store.epoch and Grants.lastRevision' = Store.revision'
  Grants.fences' = Grants.fences + Store.epoch -> Store.revision'
}

pred backup {
  Backup.revision' = Store.revision and Store.revision' = Store.revision
  Store.epoch' = Store.epoch
  fences' = fences and lastEpoch' = lastEpoch and lastRevision' = lastRevision
}

pred restore {
  some Store.epoch.(epochs/next)
  Store.epoch' = Store.epoch.(epochs/next) and Store.revision' = Backup.revision
  Backup.revision' = Backup.revision
  fences' = fences and lastEpoch' = lastEpoch and lastRevision' = lastRevision
}

pred stutter {
  Store.epoch' = Store.epoch and Store.revision' = Store.revision
  Backup.revision' = Backup.revision
  fences' = fences and lastEpoch' = lastEpoch and lastRevision' = lastRevision
}

fact trace {
  init
  always (writeAndGrant or backup or restore or stutter)
}

// Whether the first fence is lower than the second.
pred isLower[e1: Epoch, r1: Revision, e2: Epoch, r2: Revision] {
  some EpochOff
    implies revisions/lt[r1, r2]
    else (epochs/lt[e1, e2] or (e1 = e2 and revisions/lt[r1, r2]))
}

// The next grant has a fence above all earlier ones.
pred nextFenceIsHigher {
  writeAndGrant implies
    all e: Epoch, r: Revision |
      e -> r in Grants.fences implies isLower[e, r, Grants.lastEpoch', Grants.lastRevision']
}

FencesRise: check { no EpochOff implies always nextFenceIsHigher }
  for 4 but 9 steps, 3 Epoch expect 0

GrantAfterTwoRestores: run {
  no EpochOff
  eventually (writeAndGrant and Store.epoch = epochs/last)
} for 4 but 6 steps, 3 Epoch expect 1

// A fence that is only a revision is given out twice.
NoEpochInFence: run {
  some EpochOff
  not always nextFenceIsHigher
} for 4 but 5 steps, 2 Epoch expect 1
