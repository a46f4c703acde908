package storage

import (
	"fmt"
	"testing"

	"github.com/oleanderchute/oleanderchute/raft"
)

// BenchmarkSave measures a durable Save of entries of 200 B with a hard state.
func BenchmarkSave(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g, _, err := OpenDiskStore(b.TempDir(), "p", Options{})
			if err != nil {
				b.Fatal(err)
			}
			defer g.Close()
			entries := entriesFrom(1, n, 200)
			next := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				for i := range entries {
					entries[i].Index = next
					next++
				}
				if err := g.Save(&raft.HardState{Term: 1, Commit: next}, entries, nil); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(n)*float64(b.N)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}
