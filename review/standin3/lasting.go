//go:build review

package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// doneSoon is what ordinary tasks do.
var doneSoon = outcome{200 * time.Millisecond, "done"}

// unrestarted returns the tasks that last and break LOST at a time: from 6 s after the last run of such a task it has
// nothing running for 3 s, although there is capacity for it twice over on a worker, all the while. Its turn has come, since
// its step depends on no other.
func (r *recorder) unrestarted(now time.Duration, workers []*worker) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var breaks []string
	for task, t := range r.tasks {
		id, _, _ := strings.Cut(task, ".")
		j := r.jobs[id]
		last := t.runs[len(t.runs)-1]
		if !j.spec.Phases[0].LongRunning || j.cancelAcked != 0 || last.ended == 0 || now < last.ended+lastingSettled+lostAfter {
			continue
		}
		need, most, leastFree := int64(j.spec.Phases[0].CPU), int64(0), int64(1<<62)
		for at := last.ended + lastingSettled; at <= now; at += 50 * time.Millisecond {
			used, free := r.usedAt(at), int64(0)
			for _, w := range workers {
				free = max(free, workerMilliCPU-used[w.id])
			}
			leastFree = min(leastFree, free)
			total := int64(0)
			for _, u := range used {
				total += u
			}
			most = max(most, total)
		}
		if leastFree >= 2*need {
			breaks = append(breaks, fmt.Sprintf("LOST: task %s lasts; its run %d ended (%s) on %s at %.3f s, and it has nothing running since, at %.3f s; "+
				"it needs %d, and a worker has had at least %d free; at most %d of %d are in use", task, last.run, last.how, last.worker, last.ended.Seconds(),
				now.Seconds(), need, leastFree, most, len(workers)*workerMilliCPU))
		}
	}
	slices.Sort(breaks)
	return breaks
}

// waitForBreak checks every 200 ms until a task that lasts breaks LOST or the time is over.
func (s *system) waitForBreak(d time.Duration) []string {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if breaks := s.rec.unrestarted(s.rec.now(), s.workers); len(breaks) > 0 {
			return breaks
		}
	}
	return nil
}

// lastingQuarantine hands in six jobs of one task that lasts. Two of the tasks fail three times each, 4 s after their
// starts, and last then. Later one of the other tasks fails once, and an ordinary job is handed in.
func lastingQuarantine(s *system, trouble bool) ([]string, error) {
	const (
		workers          = 3
		failsThrice      = "fails three times"
		failsOnce        = "fails once"
		lasts            = "lasts"
		shortUptime      = 4 * time.Second
		longUptime       = 30 * time.Second
		beforeOrdinary   = 32 * time.Second
		afterTheOrdinary = finishAfter
	)
	behave := func(task string, run uint32) outcome {
		s.rec.mu.Lock()
		defer s.rec.mu.Unlock()
		id, _, _ := strings.Cut(task, ".")
		spec := &s.rec.jobs[id].spec
		switch {
		case !spec.Phases[0].LongRunning:
			return doneSoon
		case trouble && spec.Spec == failsThrice && run <= 3:
			return outcome{shortUptime, "failed"}
		case trouble && spec.Spec == failsOnce && run == 1:
			return outcome{longUptime, "failed"}
		}
		return outcome{}
	}
	if err := s.setUp(workers, behave, config(3, newRoute("r-1", "/lohu930/", 0)), "/lohu930/"); err != nil {
		return nil, err
	}
	for _, text := range []string{failsThrice, failsThrice, failsOnce, lasts, lasts, lasts} {
		if _, err := s.submit("/lohu930/", jobSpec{text, []phase{{Count: 1, CPU: 2000, MemMB: 1024, LongRunning: true}}}); err != nil {
			return nil, err
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(beforeOrdinary)
	ordinary, err := s.submit("/lohu930/", jobSpec{"ordinary", []phase{{Count: 2, CPU: 1000, MemMB: 256, EstimateMS: 200}}})
	if err != nil {
		return nil, err
	}
	time.Sleep(afterTheOrdinary)
	breaks := s.rec.unrestarted(s.rec.now(), s.workers)
	status, state := s.state(ordinary)
	if used := s.usedNow(); state != "done" && 2*used < workers*workerMilliCPU {
		breaks = append(breaks, fmt.Sprintf("LOST: job %s, accepted at %.3f s, is %q (%d) %v after the end of the traffic, has nothing running, and %d of %d are in use",
			ordinary.id, ordinary.accepted.Seconds(), state, status, finishAfter, used, workers*workerMilliCPU))
	}
	return breaks, nil
}

// usedNow returns the milli-CPU in use.
func (s *system) usedNow() int64 {
	s.rec.mu.Lock()
	defer s.rec.mu.Unlock()
	total := int64(0)
	for _, u := range s.rec.usedAt(s.rec.now()) {
		total += u
	}
	return total
}

// lastingHeadroom hands in one job with a task that lasts on a queue of priority 1, then jobs with tasks that last on a
// queue of priority 0, which take 0.8 of the service. Then the one task fails once.
func lastingHeadroom(s *system, trouble bool) ([]string, error) {
	const (
		workers = 3
		uptime  = 12 * time.Second
	)
	behave := func(task string, run uint32) outcome {
		s.rec.mu.Lock()
		defer s.rec.mu.Unlock()
		id, _, _ := strings.Cut(task, ".")
		j := s.rec.jobs[id]
		switch {
		case !j.spec.Phases[0].LongRunning:
			return doneSoon
		case j.spec.Spec == "fails once" && run == 1 && trouble:
			return outcome{uptime, "failed"}
		}
		return outcome{}
	}
	first := config(3, newRoute("r-1", "/lohu930/", 0), newRoute("r-2", "/pufi791/", 1))
	if err := s.setUp(workers, behave, first, "/lohu930/"); err != nil {
		return nil, err
	}
	if _, err := s.submit("/pufi791/", jobSpec{"fails once", []phase{{Count: 1, CPU: 1000, MemMB: 1024, LongRunning: true}}}); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	for range 4 { // 38.4 of 48 cores
		if _, err := s.submit("/lohu930/", jobSpec{"urgent", []phase{{Count: 3, CPU: 3200, MemMB: 1024, LongRunning: true, AntiAffinity: 1}}}); err != nil {
			return nil, err
		}
	}
	return s.waitForBreak(30 * time.Second), nil
}

// machines returns all machines of the system.
func (s *system) machines() []*machine {
	return append(append([]*machine{}, s.keepers...), s.entries...)
}
