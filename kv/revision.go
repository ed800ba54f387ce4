package kv

// A store may be restored from a copy. It then gives out revisions again that it had
// given out after the copy. Revisions therefore carry the era of the store, which rises
// with each restore, so that what was read after a restore is always newer than what was
// read before it.

// eraShift is the number of bits of a revision below its era. Eras up to 8,191 leave
// revisions that JSON numbers hold exactly.
const eraShift = 40

// MakeRevision returns the revision with a number in an era.
func MakeRevision(era, number int64) int64 { return era<<eraShift | number }

// RevisionEra returns the era of a revision.
func RevisionEra(revision int64) int64 { return revision >> eraShift }

// RevisionNumber returns the number that the store has given to a revision in its era.
func RevisionNumber(revision int64) int64 { return revision & (1<<eraShift - 1) }
