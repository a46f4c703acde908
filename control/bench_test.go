package control

import (
	"fmt"
	"testing"

	"github.com/oleanderchute/oleanderchute/api"
)

// benchTables has n routes over n/10 pools, with shares and quotas of ten teams each.
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

func benchWorkers(n, pools int) []WorkerInfo {
	out := make([]WorkerInfo, n)
	for i := range out {
		out[i] = WorkerInfo{Worker: fmt.Sprintf("w%d", i), Pool: fmt.Sprintf("pool-%04d", i%pools), Capacity: api.Resources{MilliCPU: 32000, MemoryMB: 64000}}
	}
	return out
}

// BenchmarkApply applies changes of one route to tables of the given size.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{100, 1000} {
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			s, tables, workers := newTestState(), benchTables(n), benchWorkers(6600, n/10)
			s.applyNext(EncodeChange(change("first", 0, tables)))
			var whole, delta int
			for i := 0; b.Loop(); i++ {
				b.StopTimer()
				tables.Routes[0].Class = []api.Class{api.ClassUrgent, api.ClassLow}[i%2]
				ch := change(fmt.Sprint(i), s.Version(), tables)
				ch.Workers = workers
				data := s.EncodeChange(ch)
				delta, whole = len(data), len(EncodeChange(ch))
				b.StartTimer()
				if r := s.applyNext(data); !r.Response.Accepted {
					b.Fatal(r.Response)
				}
			}
			b.ReportMetric(float64(delta), "delta-bytes/change")
			b.ReportMetric(float64(whole), "whole-bytes/change")
		})
	}
}

func BenchmarkCheck(b *testing.B) {
	tables, workers := benchTables(1000), benchWorkers(6600, 100)
	for b.Loop() {
		Check(tables, tables, workers, []string{"east"})
	}
}

func BenchmarkResolve(b *testing.B) {
	r := logResolver(benchTables(1000))
	for _, kind := range []string{"route-0500", "ruote-0500x"} {
		b.Run(kind, func(b *testing.B) {
			for b.Loop() {
				r.Resolve(kind)
			}
		})
	}
	b.Run("uncached", func(b *testing.B) {
		for b.Loop() {
			r.kinds.nearest("ruote-0500x")
		}
	})
}

// BenchmarkSnapshot measures a state with 1,000 routes and all remembered answers.
func BenchmarkSnapshot(b *testing.B) {
	s, tables := newTestState(), benchTables(1000)
	for i := range maxAnswers {
		s.answers.add(fmt.Sprintf("00000000-0000-4000-8000-%012d", i), api.ApplyResponse{Accepted: true, Version: uint64(i)})
	}
	s.applyNext(EncodeChange(change("first", 0, tables)))
	for b.Loop() {
		b.ReportMetric(float64(len(s.Snapshot())), "bytes")
	}
}
