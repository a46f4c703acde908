package placement

import "time"

const (
	// faultScoreWeight is the weight of one outcome in a worker's fault score, an
	// exponential moving average. If all peers succeed, six failures in a row raise the
	// score over probationThreshold; a worker with occasional failures stays below it.
	faultScoreWeight   = 1.0 / 8
	probationThreshold = 0.45
	// minPeerSuccess is the fraction of the peers that must succeed with a kind of work
	// for a trial's failure to count against the worker.
	minPeerSuccess = 0.5
	// probationDivisor bounds the workers on probation to one in this many workers of
	// the pool, so that false positives cannot empty it.
	probationDivisor = 4
	// Trial tasks on a worker on probation are minTrialInterval apart at first; each
	// failure doubles the interval, up to maxTrialInterval.
	minTrialInterval = time.Second
	maxTrialInterval = time.Minute
	// urgentTrialDelay is how long a due trial waits for work that is not urgent before
	// it may take urgent work.
	urgentTrialDelay = 10 * time.Second
	// departedHealthTTL is how long the health of a worker that has left is kept, so
	// that a restart does not reset it. Expired entries are purged once there are
	// maxDepartedHealth.
	departedHealthTTL = 10 * time.Minute
	maxDepartedHealth = 1024
)

// health tracks the outcomes of the tasks of one worker. A failure is weighted by the
// fraction of the pool's other workers on which the same kind of work last succeeded, so
// a kind that fails everywhere counts against no worker, however often it fails.
type health struct {
	faultScore        float64         // moving average of the weighted failures
	recentFailureRate float64         // moving average of all failures, including those that peers share
	lastFailed        map[string]bool // last outcome, by kind
	onProbation       bool
	nextTrialAt       time.Duration // earliest start of the next trial
	trialInterval     time.Duration // minimum time between trials
	maxTrialTasks     int           // concurrent tasks while on probation; doubles with each success
	departedAt        time.Duration
}

func newHealth() *health { return &health{lastFailed: map[string]bool{}} }

// recordOutcome records the outcome of a task of the kind on w, and starts probation if
// the fault score exceeds probationThreshold.
func (p *pool) recordOutcome(now time.Duration, w *worker, kind string, failed bool) {
	k := p.kinds.statsOf(kind)
	w.health.removeKindOutcome(k, kind)
	peerSuccess := 0.0
	if failed {
		peerSuccess = float64(k.workersSucceeding) / float64(k.workersSucceeding+k.workersFailing+1)
		k.workersFailing++
	} else {
		k.workersSucceeding++
	}
	w.health.lastFailed[kind] = failed
	w.health.updateRecentFailureRate(failed)
	if w.health.onProbation {
		p.recordTrialOutcome(now, w, failed, peerSuccess)
		return
	}
	w.health.faultScore += (peerSuccess - w.health.faultScore) * faultScoreWeight
	if w.health.faultScore > probationThreshold && len(p.probationWorkers) < max(1, len(p.workers)/probationDivisor) {
		p.startProbation(now, w)
	}
}

// updateRecentFailureRate adds an outcome and halves the weight of the older ones.
func (h *health) updateRecentFailureRate(failed bool) {
	h.recentFailureRate /= 2
	if failed {
		h.recentFailureRate += 0.5
	}
}

// removeKindOutcome removes the last outcome of the kind from the kind's counts.
func (h *health) removeKindOutcome(k *kindStats, kind string) {
	failed, ok := h.lastFailed[kind]
	switch {
	case !ok:
	case failed:
		k.workersFailing = max(0, k.workersFailing-1)
	default:
		k.workersSucceeding = max(0, k.workersSucceeding-1)
	}
}

// removeOutcomes removes the last outcome of w from the counts of each kind.
func (p *pool) removeOutcomes(w *worker) {
	for kind := range w.health.lastFailed {
		w.health.removeKindOutcome(p.kinds.statsOf(kind), kind)
	}
	clear(w.health.lastFailed)
}

// startProbation puts w on probation: from now on it gets trial tasks only.
func (p *pool) startProbation(now time.Duration, w *worker) {
	h := w.health
	h.onProbation, h.trialInterval, h.nextTrialAt, h.maxTrialTasks = true, minTrialInterval, now+minTrialInterval, 1
	p.probationWorkers = append(p.probationWorkers, w)
	w.updateIndex()
}

// recordTrialOutcome doubles the concurrent trial tasks after each success until they
// exceed the slots of w, which ends the probation. A failure that most peers do not share
// restarts the trials with one task and a longer interval.
func (p *pool) recordTrialOutcome(now time.Duration, w *worker, failed bool, peerSuccess float64) {
	h := w.health
	switch {
	case !failed:
		h.maxTrialTasks *= 2
		h.trialInterval = max(h.trialInterval/2, minTrialInterval)
		if h.maxTrialTasks > max(1, w.Slots) {
			p.endProbation(w)
		}
	case peerSuccess >= minPeerSuccess:
		h.trialInterval = min(2*h.trialInterval, maxTrialInterval)
		h.nextTrialAt, h.maxTrialTasks = now+h.trialInterval, 1
	}
}

// endProbation takes w off probation.
func (p *pool) endProbation(w *worker) {
	w.health.onProbation, w.health.faultScore = false, 0
	p.probationWorkers = without(p.probationWorkers, w)
	w.capacityFreed()
}

// wakeForDueTrials lets blocked work try again when a trial is due.
func (p *pool) wakeForDueTrials(now time.Duration) {
	for _, w := range p.probationWorkers {
		trialAt := w.health.nextTrialAt
		if w.canStartTrial(now) && (trialAt > p.scheduler.lastDecision || trialAt+urgentTrialDelay > p.scheduler.lastDecision && trialAt+urgentTrialDelay <= now) {
			p.recordFreed(w)
		}
	}
}

// canStartTrial reports whether w, which is on probation, may start a trial task.
func (w *worker) canStartTrial(now time.Duration) bool {
	return w.acceptsWork() && w.health.nextTrialAt <= now && len(w.allocations) < w.health.maxTrialTasks
}

// findTrialWorker returns a worker on probation on which e may run as a trial, or nil.
// It is called only for items of one task: gangs never run as trials. Urgent work is used
// only once the trial has been due for urgentTrialDelay, so that other work goes first.
func (p *pool) findTrialWorker(now time.Duration, e *entry) *worker {
	for _, w := range p.probationWorkers {
		if !w.canStartTrial(now) || !w.canFit(&e.demand) {
			continue
		}
		if e.subqueue.class.index == classUrgent && now < w.health.nextTrialAt+urgentTrialDelay {
			continue
		}
		return w
	}
	return nil
}

// scheduleNextTrial sets the time of the next trial after a task has started.
func (h *health) scheduleNextTrial(now time.Duration) {
	if h.onProbation {
		h.nextTrialAt = now + h.trialInterval
	}
}

// saveHealth keeps the health of a worker that leaves, for departedHealthTTL.
func (s *Scheduler) saveHealth(now time.Duration, w *worker) {
	w.health.departedAt = now
	if len(s.departedHealth) >= maxDepartedHealth {
		for name, h := range s.departedHealth {
			if now-h.departedAt > departedHealthTTL {
				delete(s.departedHealth, name)
			}
		}
	}
	s.departedHealth[w.Name] = w.health
}

// restoreHealth returns the saved health of a returning worker and removes it from the
// saved ones, or returns a new health.
func (s *Scheduler) restoreHealth(now time.Duration, name string) *health {
	h := s.departedHealth[name]
	delete(s.departedHealth, name)
	if h == nil || now-h.departedAt > departedHealthTTL {
		return newHealth()
	}
	return h
}
