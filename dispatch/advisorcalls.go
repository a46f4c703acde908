package dispatch

import (
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

const (
	// longCallMin is the duration above which a call counts as long. proxiesForShortCalls
	// proxies are kept free of long calls, so that short ones do not wait behind them.
	longCallMin          = 50 * time.Millisecond
	proxiesForShortCalls = 3
	// callTimeoutMargin is added to the expected duration of a call to get its timeout.
	callTimeoutMargin = 400 * time.Millisecond
	// proxyRetryMin is how long a proxy gets no call after one has failed. It doubles with each
	// further failure up to proxyRetryMax, since a member that is down fails every call.
	proxyRetryMin = 300 * time.Millisecond
	proxyRetryMax = 2400 * time.Millisecond
	// maxQueueFraction is the fraction of the proxies for long calls that one queue may use
	// while calls of other queues wait.
	maxQueueFraction = 0.75
	// splitCallSize is the size of the calls into which a query is split while most proxies are
	// free: the answers arrive sooner, but the calls take more time in total.
	splitCallSize = 30
)

// advisorProxy is a member through which the advisor is called, one call at a time.
type advisorProxy struct {
	call        *advisorCall  // in flight, nil if there is none
	failedCalls int           // consecutive failed calls
	retryAt     time.Duration // no new calls before this time
}

// advisorCall is a call that waits for a free proxy or is in flight.
type advisorCall struct {
	ref              job.StepRef
	queue            string
	workers          []job.Worker
	isRenewal        bool          // names only workers that were granted before
	duration         time.Duration // expected duration
	urgency                        // of the step, with the duration of the call as remaining work
	queuedAt, sentAt time.Duration // on the leader's clock
	latenessWhenSent lateness
}

// SetAdvisorProxies sets the names of the members through which the advisor can be called.
func (s *Scheduler) SetAdvisorProxies(members []string) {
	next := map[string]*advisorProxy{}
	for _, m := range members {
		if next[m] = s.proxies[m]; next[m] == nil {
			next[m] = &advisorProxy{}
		}
	}
	s.proxies = next
}

// dropQueuedCalls drops the queued calls about a step whose tasks have all been placed.
func (s *Scheduler) dropQueuedCalls(ref job.StepRef) {
	s.queuedCalls = slices.DeleteFunc(s.queuedCalls, func(call *advisorCall) bool {
		if call.ref != ref {
			return false
		}
		s.adviceFor(ref).finishCall(call.workers)
		return true
	})
}

// queueCalls queues calls about the workers, if any, and splits them equally among the calls.
func (s *Scheduler) queueCalls(r *readyStep, a *advice, list []*worker, isRenewal bool) {
	advisor := r.job.Queue.Advisor
	size := maxWorkersPerCall
	if 2*s.countFreeProxies() > len(s.proxies) {
		size = splitCallSize
	}
	for calls := (len(list) + size - 1) / size; calls > 0; calls-- {
		part := list[:(len(list)+calls-1)/calls]
		list = list[len(part):]
		call := &advisorCall{ref: r.ref, queue: r.job.Queue.Name, isRenewal: isRenewal, urgency: r.urgency,
			duration: callDuration(advisor, len(part)), queuedAt: s.now}
		call.remainingMillis += call.duration.Milliseconds() // the step starts after the answer
		for _, w := range part {
			call.workers = append(call.workers, *w.info)
			a.pending[w.info.Number] = true
		}
		a.openCalls++
		s.queuedCalls = append(s.queuedCalls, call)
	}
}

// callDuration returns the expected duration of a call about n workers.
func callDuration(advisor *job.AdvisorConfig, n int) time.Duration {
	return millis(advisor.DecisionMillis + advisor.PerWorkerMillis*float64(n))
}

// millis converts milliseconds to a duration.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// sendQueuedCalls sends the queued calls through free proxies, in the order in which their steps are
// placed, so that the advisor's time goes to jobs that can still be in time. No queue
// uses more than maxQueueFraction of the proxies for long calls while calls of other queues wait.
func (s *Scheduler) sendQueuedCalls() {
	freeCount, keptFree := s.countFreeProxies(), min(proxiesForShortCalls, len(s.proxies)/2)
	if !slices.ContainsFunc(s.queuedCalls, func(call *advisorCall) bool { return call.fits(freeCount, keptFree) }) {
		return
	}
	slices.SortStableFunc(s.queuedCalls, func(x, y *advisorCall) int { return x.compareAt(y.urgency, s.wallMillis) })
	busy := map[string]int{}
	for _, proxy := range s.proxies {
		if proxy.call != nil {
			busy[proxy.call.queue]++
		}
	}
	queueLimit := max(int(maxQueueFraction*float64(len(s.proxies)-keptFree)), 1)
	free := s.sendCallsUpTo(s.freeProxies(), keptFree, busy, queueLimit)
	s.sendCallsUpTo(free, keptFree, busy, len(s.proxies))
}

// fits reports whether the call may be sent while a number of proxies is free. A long call leaves
// keptFree of them free.
func (call *advisorCall) fits(free, keptFree int) bool {
	return free > 0 && (call.duration <= longCallMin || free > keptFree)
}

// sendCallsUpTo sends queued calls through the free proxies, such that each queue uses at most
// queueLimit proxies and long calls leave keptFree proxies free. It returns the proxies that are
// still free.
func (s *Scheduler) sendCallsUpTo(free []string, keptFree int, busy map[string]int, queueLimit int) []string {
	waiting := s.queuedCalls[:0]
	for _, call := range s.queuedCalls {
		if !call.fits(len(free), keptFree) || busy[call.queue] >= queueLimit {
			waiting = append(waiting, call)
			continue
		}
		s.proxies[free[0]].call = call
		call.sentAt, call.latenessWhenSent = s.now, call.latenessAt(s.wallMillis)
		busy[call.queue]++
		s.actions = append(s.actions, Advise{Via: free[0], Step: call.ref, Workers: call.workers, Timeout: call.duration + callTimeoutMargin})
		free = free[1:]
	}
	s.queuedCalls = waiting
	return free
}

// isFree reports whether the proxy can take a call.
func (p *advisorProxy) isFree(now time.Duration) bool { return p.call == nil && now >= p.retryAt }

// countFreeProxies returns the number of proxies that can take a call.
func (s *Scheduler) countFreeProxies() int {
	n := 0
	for _, proxy := range s.proxies {
		if proxy.isFree(s.now) {
			n++
		}
	}
	return n
}

// freeProxies returns the names of the proxies that can take a call, sorted.
func (s *Scheduler) freeProxies() []string {
	var free []string
	for name, proxy := range s.proxies {
		if proxy.isFree(s.now) {
			free = append(free, name)
		}
	}
	slices.Sort(free)
	return free
}

// busyProxies returns the number of proxies with a call in flight.
func (s *Scheduler) busyProxies() int {
	n := 0
	for _, proxy := range s.proxies {
		if proxy.call != nil {
			n++
		}
	}
	return n
}
