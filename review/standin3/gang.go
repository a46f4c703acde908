//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

// gangReservations hands in a job whose four tasks take long and leave ten of the sixteen cores of each worker free, then jobs of
// gangs that do not fit beside them, and then an ordinary job of a less urgent queue. Without trouble the tasks of the gangs need not
// run together.
func gangReservations(s *system, trouble bool) ([]string, error) {
	const (
		workers      = 4
		gangs        = 20
		gangInterval = 400 * time.Millisecond
		longDuration = 45 * time.Second // the check is over before
		small        = 2000
		smallTasks   = 2
	)
	behave := func(task string, _ uint32) outcome {
		s.rec.mu.Lock()
		defer s.rec.mu.Unlock()
		id, _, _ := strings.Cut(task, ".")
		if s.rec.jobs[id].spec.Spec == "long" {
			return outcome{longDuration, "done"}
		}
		return doneSoon
	}
	first := config(3, newRoute("r-1", "/lohu930/", 1), newRoute("r-2", "/pufi791/", 2))
	if err := s.setUp(workers, behave, first, "/lohu930/"); err != nil {
		return nil, err
	}
	if _, err := s.submit("/lohu930/", jobSpec{"long", []phase{{Count: workers, CPU: 6000, MemMB: 1024, EstimateMS: int(longDuration.Milliseconds()), AntiAffinity: 1}}}); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	for range gangs {
		if _, err := s.submit("/lohu930/", jobSpec{"gang", []phase{{Count: 8, CPU: 7500, MemMB: 1024, EstimateMS: 6000, Gang: trouble}}}); err != nil {
			return nil, err
		}
		time.Sleep(gangInterval)
	}
	ordinary, err := s.submit("/pufi791/", jobSpec{"ordinary", []phase{{Count: smallTasks, CPU: small, MemMB: 256, EstimateMS: 1000}}})
	if err != nil {
		return nil, err
	}
	time.Sleep(finishAfter)
	for range int(lostAfter / (100 * time.Millisecond)) {
		s.rec.mu.Lock()
		used := s.rec.usedAt(s.rec.now())
		hasRun := s.rec.tasks[ordinary.id+".0.0.0"] != nil || s.rec.tasks[ordinary.id+".0.0.1"] != nil
		s.rec.mu.Unlock()
		total, most := int64(0), int64(0)
		for _, w := range s.workers {
			total += used[w.id]
			most = max(most, workerMilliCPU-used[w.id])
		}
		if hasRun || most < 2*smallTasks*small || 2*total >= workers*workerMilliCPU {
			s.state(ordinary)
			return nil, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	status, state := s.state(ordinary)
	return []string{fmt.Sprintf("LOST: job %s, accepted at %.3f s, is %q (%d) at %.3f s, over %v after the end of the traffic; it has had nothing running for 3 s; "+
		"its %d tasks of %d fit on each worker twice over, and %d of %d are in use", ordinary.id, ordinary.accepted.Seconds(), state, status,
		s.rec.now().Seconds(), finishAfter, smallTasks, small, s.usedNow(), workers*workerMilliCPU)}, nil
}
