package directory

import (
	"fmt"
	"strconv"
)

// revisionBits is the number of bits of a Revision that hold the revision of the store; the bits above hold the era.
const revisionBits = 48

// MaxStoreRevision is the highest revision of the store that a Revision can hold.
const MaxStoreRevision = 1<<revisionBits - 1

// Revision is a revision of the store together with the era of the store: the number of times that it was restored from
// a backup. A restored store assigns the same revisions again, so the era is compared first. Era 0 is a store that
// does not name its era.
type Revision uint64

// NewRevision returns the revision with a number in an era. It returns an error if the number is too large.
func NewRevision(era uint16, number uint64) (Revision, error) {
	if number > MaxStoreRevision {
		return 0, fmt.Errorf("revision %d of the store: want at most %d", number, uint64(MaxStoreRevision))
	}
	return Revision(era)<<revisionBits | Revision(number), nil
}

// Era returns the era of the store.
func (r Revision) Era() uint16 { return uint16(r >> revisionBits) }

// Number returns the revision of the store within the era.
func (r Revision) Number() uint64 { return uint64(r & MaxStoreRevision) }

// String returns the number, preceded by the era if the store names it.
func (r Revision) String() string {
	if r.Era() == 0 {
		return strconv.FormatUint(r.Number(), 10)
	}
	return fmt.Sprintf("%d:%d", r.Era(), r.Number())
}
