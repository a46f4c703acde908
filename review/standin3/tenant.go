//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

// tenantHeld hands in the jobs of one tenant: one whose task lasts and takes a quarter of the tenant's max_count, one whose task
// needs more than the rest of it, and then an ordinary one.
func tenantHeld(s *system, trouble bool) ([]string, error) {
	const (
		workers  = 4
		maxCount = 16000
		lasting  = 4000
		large    = 13000
		small    = 1000
	)
	s.key = "k-5c0e7a21d94b36f8"
	behave := func(task string, _ uint32) outcome {
		s.rec.mu.Lock()
		defer s.rec.mu.Unlock()
		id, _, _ := strings.Cut(task, ".")
		if s.rec.jobs[id].spec.Phases[0].LongRunning {
			return outcome{}
		}
		return doneSoon
	}
	tenants := []tenant{{"t-1", []string{s.key}, 20, map[string]int{"cpu": maxCount, "mem_mb": 0, "gpu": 0}},
		{"t-2", []string{"k-7f3a91c2"}, 20, map[string]int{"cpu": 0, "mem_mb": 0, "gpu": 0}}}
	if err := s.setUp(workers, behave, configWithTenants(3, tenants, newRoute("r-1", "/lohu930/", 1)), "/lohu930/"); err != nil {
		return nil, err
	}
	if _, err := s.submit("/lohu930/", jobSpec{"lasts", []phase{{Count: 1, CPU: lasting, MemMB: 1024, LongRunning: true}}}); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if _, err := s.submit("/lohu930/", jobSpec{"large", []phase{{Count: 1, CPU: large, MemMB: 1024, EstimateMS: 60_000}}}); err != nil {
			return nil, err
		}
		time.Sleep(2 * time.Second)
	}
	ordinary, err := s.submit("/lohu930/", jobSpec{"ordinary", []phase{{Count: 1, CPU: small, MemMB: 256, EstimateMS: 1000}}})
	if err != nil {
		return nil, err
	}
	time.Sleep(finishAfter)
	for range int(lostAfter / (100 * time.Millisecond)) {
		s.rec.mu.Lock()
		hasRun := s.rec.tasks[ordinary.id+".0.0.0"] != nil
		s.rec.mu.Unlock()
		// All that runs is the tenant's.
		if used := s.usedNow(); hasRun || 2*used >= maxCount {
			s.state(ordinary)
			return nil, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	status, state := s.state(ordinary)
	return []string{fmt.Sprintf("LOST: job %s, accepted at %.3f s, is %q (%d) at %.3f s, over %v after the end of the traffic; it has had nothing running for 3 s; "+
		"its task of %d fits on three idle workers of %d; its tenant has %d of its %d running, and the service %d of %d", ordinary.id, ordinary.accepted.Seconds(),
		state, status, s.rec.now().Seconds(), finishAfter, small, workerMilliCPU, s.usedNow(), maxCount, s.usedNow(), workers*workerMilliCPU)}, nil
}
