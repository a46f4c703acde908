package storage

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/oleanderchute/oleanderchute/raft"
)

// Guards against remembering the terms of overwritten entries. A snapshot would then
// wrongly keep or drop the entries after it.
func TestOverwritingEntriesReplacesTheirTerms(t *testing.T) {
	c := qt.New(t)
	var s logState
	for _, w := range []struct{ first, n, term uint64 }{{1, 5, 1}, {3, 2, 2}, {2, 5, 3}} {
		var r record
		for i := range w.n {
			r.Entries = append(r.Entries, raft.Entry{Index: w.first + i, Term: w.term})
		}
		s.apply(r)
	}
	for index, term := range []uint64{0, 1, 3, 3, 3, 3, 3, 0} {
		for probe := uint64(1); probe <= 3; probe++ {
			c.Assert(s.hasEntry(uint64(index), probe), qt.Equals, probe == term)
		}
	}
}
