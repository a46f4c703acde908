package control

import (
	"fmt"
	"testing"

	"github.com/oleanderchute/oleanderchute/api"
)

// benchTables returns n routes and n/10 pools, each with shares and quotas for ten teams.
func benchTables(n int) api.Tables {
	var t api.Tables
	for i := range n / 10 {
		p := api.Pool{Name: fmt.Sprintf("pool-%04d", i), Home: "east", Shares: map[string]int64{}, Quotas: map[string]api.Resources{}}
		for team := range 10 {
			p.Shares[fmt.Sprintf("team-%02d", team)] = int64(team + 1)
			p.Quotas[fmt.Sprintf("team-%02d", team)] = api.Resources{MilliCPU: 640000, MemoryMB: 1280000}
		}
		t.Pools = append(t.Pools, p)
	}
	for i := range n {
		t.Routes = append(t.Routes, api.Route{Name: fmt.Sprintf("route-%04d", i), Pool: t.Pools[i%len(t.Pools)].Name, Aliases: []string{fmt.Sprintf("rout-%04d", i)}})
	}
	return t
}

// benchWorkers returns n workers, distributed evenly over the pools of benchTables.
func benchWorkers(n, pools int) []WorkerInfo {
	out := make([]WorkerInfo, n)
	for i := range out {
		out[i] = WorkerInfo{Worker: fmt.Sprintf("w%d", i), Pool: fmt.Sprintf("pool-%04d", i%pools), Capacity: api.Resources{MilliCPU: 32000, MemoryMB: 64000}}
	}
	return out
}

// BenchmarkApply measures changes of one route in tables with the given number of routes.
// It also reports the size of the command as a delta and with the complete tables.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{100, 1000} {
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			s, tables, workers := newTestState(), benchTables(n), benchWorkers(6600, n/10)
			s.applyNext(EncodeChange(newTestChange("first", 0, tables)))
			var completeBytes, deltaBytes int
			for i := 0; b.Loop(); i++ {
				b.StopTimer()
				tables.Routes[0].Class = []api.Class{api.ClassUrgent, api.ClassLow}[i%2]
				ch := newTestChange(fmt.Sprint(i), s.Version(), tables)
				ch.Workers = workers
				data := s.EncodeChange(ch)
				deltaBytes, completeBytes = len(data), len(EncodeChange(ch))
				b.StartTimer()
				if r := s.applyNext(data); !r.Response.Accepted {
					b.Fatal(r.Response)
				}
			}
			b.ReportMetric(float64(deltaBytes), "delta-bytes/change")
			b.ReportMetric(float64(completeBytes), "whole-bytes/change")
		})
	}
}

// BenchmarkCheck measures Check with 1,000 routes and 6,600 workers.
func BenchmarkCheck(b *testing.B) {
	tables, workers := benchTables(1000), benchWorkers(6600, 100)
	for b.Loop() {
		Check(tables, tables, workers, []string{"east"})
	}
}

// BenchmarkResolve measures a known kind, a misspelled kind with a cached nearest name and
// the uncached search for the nearest name.
func BenchmarkResolve(b *testing.B) {
	r := newTestResolver(benchTables(1000))
	for _, kind := range []string{"route-0500", "ruote-0500x"} {
		b.Run(kind, func(b *testing.B) {
			for b.Loop() {
				r.Resolve(kind)
			}
		})
	}
	b.Run("uncached", func(b *testing.B) {
		for b.Loop() {
			r.kindNames.nearest("ruote-0500x")
		}
	})
}

// BenchmarkSnapshot measures the encoding of a state with 1,000 routes and a full response
// cache.
func BenchmarkSnapshot(b *testing.B) {
	s, tables := newTestState(), benchTables(1000)
	for i := range maxCachedResponses {
		s.responses.add(fmt.Sprintf("00000000-0000-4000-8000-%012d", i), api.ApplyResponse{Accepted: true, Version: uint64(i)})
	}
	s.applyNext(EncodeChange(newTestChange("first", 0, tables)))
	for b.Loop() {
		b.ReportMetric(float64(len(s.Snapshot())), "bytes")
	}
}
