package storage

import (
	"fmt"
	"testing"

	"github.com/oleanderchute/oleanderchute/raft"
)

// BenchmarkSave measures a durable Save of a hard state and 1, 16 or 256 entries of 200
// bytes each.
func BenchmarkSave(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			store, _, err := OpenDiskStore(b.TempDir(), "p", Options{})
			if err != nil {
				b.Fatal(err)
			}
			defer store.Close()
			entries := entriesFrom(1, n, 200)
			next := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				for i := range entries {
					entries[i].Index = next
					next++
				}
				if err := store.Save(&raft.HardState{Term: 1, Commit: next}, entries, nil); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(n)*float64(b.N)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}
