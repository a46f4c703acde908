package placement

import "time"

const (
	// blameWeight is the weight of one outcome in a worker's blame. With peers that
	// succeed, six failures in a row bring the blame over blameLimit; a worker with
	// ordinary failures in between stays below it.
	blameWeight = 1.0 / 8
	blameLimit  = 0.45
	// peerLimit is the part of the peers that must succeed with a kind for a trial's
	// failure to count against the worker.
	peerLimit = 0.5
	// probationFraction is the largest part of a pool on probation, one in this many,
	// so that a wrong judgment cannot empty the pool.
	probationFraction = 4
	// Trials on a worker on probation start trialMin apart; each failure doubles the
	// distance up to trialMax.
	trialMin = time.Second
	trialMax = time.Minute
	// urgentTrialAfter is how long a trial waits for work that is not urgent.
	urgentTrialAfter = 10 * time.Second
	// healthMemory is how long the health of a worker that has left is kept, so that a
	// restart does not clear it, and maxDeparted how many are kept before a purge.
	healthMemory = 10 * time.Minute
	maxDeparted  = 1024
)

// health is the judgment of one worker by the outcomes of its tasks. A failure counts
// by the part of the pool's other workers on which the same kind last succeeded, so a
// kind that fails everywhere blames no worker, however often it fails.
type health struct {
	blame       float64
	failing     float64         // part of the latest outcomes that are failures, whoever is to blame
	lastFailed  map[string]bool // by kind
	onProbation bool
	trialAt     time.Duration // no trial before
	backoff     time.Duration
	trialSlots  int // tasks at once while on probation; doubles with each success
	departedAt  time.Duration
}

func newHealth() *health { return &health{lastFailed: map[string]bool{}} }

// noteOutcome records an outcome of a kind on w.
func (p *pool) noteOutcome(now time.Duration, w *worker, kind string, failed bool) {
	k := p.kinds.of(kind)
	w.health.forgetKind(k, kind)
	peers := 0.0
	if failed {
		peers = float64(k.succeeds) / float64(k.succeeds+k.fails+1)
		k.fails++
	} else {
		k.succeeds++
	}
	w.health.lastFailed[kind] = failed
	w.health.noteLatest(failed)
	if w.health.onProbation {
		p.judgeTrial(now, w, failed, peers)
		return
	}
	w.health.blame += (peers - w.health.blame) * blameWeight
	if w.health.blame > blameLimit && len(p.trials) < max(1, len(p.workers)/probationFraction) {
		p.condemn(now, w)
	}
}

// noteLatest halves the weight of older outcomes.
func (h *health) noteLatest(failed bool) {
	h.failing /= 2
	if failed {
		h.failing += 0.5
	}
}

// forgetKind takes the last report of kind out of the kind's counts.
func (h *health) forgetKind(k *kindStats, kind string) {
	failed, ok := h.lastFailed[kind]
	switch {
	case !ok:
	case failed:
		k.fails = max(0, k.fails-1)
	default:
		k.succeeds = max(0, k.succeeds-1)
	}
}

// forgetReports takes w's last report of each kind out of the counts.
func (p *pool) forgetReports(w *worker) {
	for kind := range w.health.lastFailed {
		w.health.forgetKind(p.kinds.of(kind), kind)
	}
	clear(w.health.lastFailed)
}

// condemn puts w on probation: it gets trial work only.
func (p *pool) condemn(now time.Duration, w *worker) {
	h := w.health
	h.onProbation, h.backoff, h.trialAt, h.trialSlots = true, trialMin, now+trialMin, 1
	p.trials = append(p.trials, w)
	w.refresh()
}

// judgeTrial doubles the trial work after a success until w is restored. A failure
// that most peers do not share starts over, with a longer distance between trials.
func (p *pool) judgeTrial(now time.Duration, w *worker, failed bool, peers float64) {
	h := w.health
	switch {
	case !failed:
		h.trialSlots *= 2
		h.backoff = max(h.backoff/2, trialMin)
		if h.trialSlots > max(1, w.Slots) {
			p.restore(w)
		}
	case peers >= peerLimit:
		h.backoff = min(2*h.backoff, trialMax)
		h.trialAt, h.trialSlots = now+h.backoff, 1
	}
}

// restore takes w off probation.
func (p *pool) restore(w *worker) {
	w.health.onProbation, w.health.blame = false, 0
	p.trials = without(p.trials, w)
	w.refreshFreed()
}

// renewTrials lets blocked work try again when a trial is due.
func (p *pool) renewTrials(now time.Duration) {
	for _, w := range p.trials {
		at := w.health.trialAt
		if w.mayTry(now) && (at > p.s.lastDecision || at+urgentTrialAfter > p.s.lastDecision && at+urgentTrialAfter <= now) {
			p.noteFreed(w)
		}
	}
}

// mayTry reports whether w, which is on probation, may start a trial.
func (w *worker) mayTry(now time.Duration) bool {
	return w.isOpen() && w.health.trialAt <= now && len(w.tasks) < w.health.trialSlots
}

// trialFor returns a worker on probation on which e may run as a trial, or nil. Gangs
// are never trials, and urgent work only if no other work has come for a while.
func (p *pool) trialFor(now time.Duration, e *entry) *worker {
	for _, w := range p.trials {
		if !w.mayTry(now) || !w.hasRoom(&e.demand) {
			continue
		}
		if e.lane.class.index == classUrgent && now < w.health.trialAt+urgentTrialAfter {
			continue
		}
		return w
	}
	return nil
}

// noteTrial sets the distance to the next trial after a start.
func (h *health) noteTrial(now time.Duration) {
	if h.onProbation {
		h.trialAt = now + h.backoff
	}
}

// depart keeps the health of a worker that leaves, for healthMemory.
func (s *Scheduler) depart(now time.Duration, w *worker) {
	w.health.departedAt = now
	if len(s.departed) >= maxDeparted {
		for name, h := range s.departed {
			if now-h.departedAt > healthMemory {
				delete(s.departed, name)
			}
		}
	}
	s.departed[w.Name] = w.health
}

// healthOf returns the kept health of a worker that returns, or a new one.
func (s *Scheduler) healthOf(now time.Duration, name string) *health {
	h := s.departed[name]
	delete(s.departed, name)
	if h == nil || now-h.departedAt > healthMemory {
		return newHealth()
	}
	return h
}
