package partition

import (
	"encoding/hex"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// Stats counts what a partition holds. The counts of soft state are 0 on a replica that
// is not the owner.
type Stats struct {
	Records  int
	Waiters  int
	Pending  int // commands that wait to be proposed
	InFlight int // batches that are proposed and not applied
	// BadAnswers counts answers with a wrong length or digest since the ownership began.
	InvalidAnswers int
	Scheduler      SchedulerStats
}

// Stats returns counts; the owner's soft state is included while it is the owner.
func (p *Partition) Stats() Stats {
	s := Stats{Records: len(p.records)}
	if o := p.owner; o != nil {
		s.Waiters, s.InvalidAnswers = len(o.waiters), o.badAnswers
		s.Pending, s.InFlight = len(o.log.pending), len(o.log.inFlight)
		s.Scheduler = o.sched.Stats()
	}
	return s
}

// Status returns the state of a key as this replica knows it, and whether there is a
// record. On a replica that is not the owner it may be old.
func (p *Partition) Status(key api.RequestKey) (api.RequestStatus, bool) {
	r := p.records[key]
	if r == nil {
		return api.RequestStatus{}, false
	}
	if p.owner != nil {
		return *p.owner.status(r), true
	}
	return *r.status(), true
}

// status returns what the record says.
func (r *record) status() *api.RequestStatus {
	s := &api.RequestStatus{
		Caller: r.Spec.Key.Caller, Key: r.Spec.Key.Key, Kind: r.Spec.Kind, State: r.State,
		Reason: r.Reason, Attempt: len(r.Attempts), WaitedMillis: r.WaitedMillis,
	}
	if n := len(r.Attempts); n > 0 {
		s.Worker = r.Attempts[n-1].Worker
	}
	if r.AnswerDigest != nil {
		s.Answer, s.AnswerDigest = r.Answer, hex.EncodeToString(r.AnswerDigest)
	}
	return s
}

// status adds the owner's knowledge to what the record says.
func (o *owner) status(r *record) *api.RequestStatus {
	s := r.status()
	l := o.live[r.Spec.Key]
	if l == nil || r.State.IsOutcome() {
		return s
	}
	if r.Spec.isGang() {
		o.gangStatus(l, s)
		return s
	}
	for _, a := range l.attempts {
		switch a.state {
		case attemptRunning:
			s.State, s.Worker = api.StateRunning, a.worker.name
		case attemptUncertain, attemptClaiming:
			s.State, s.Worker = api.StateClaimed, a.worker.name
		}
		if r.attempt(a.id.Attempt) == nil {
			s.Attempt++
		}
	}
	if s.State == api.StateQueued {
		s.Reason = o.waitsFor(o.now, l)
	}
	return s
}

// waitsFor says what a queued request waits for.
func (o *owner) waitsFor(now time.Duration, l *liveRequest) string {
	switch l.phase {
	case phaseQueued:
		if e := o.sched.Explain(now, l.key); e.WaitsFor != "" {
			return e.WaitsFor
		}
		return "a worker of pool " + l.rec.Spec.Pool
	case phaseDoubt:
		return "the end of leases that the former owner may have granted"
	case phaseClosing:
		return "the cancel to become durable"
	}
	return l.delayed
}

// Explain says why a request has not started. State is empty if there is no record.
func (p *Partition) Explain(now time.Duration, key api.RequestKey) api.Explanation {
	e := api.Explanation{Caller: key.Caller, Key: key.Key}
	status, ok := p.Status(key)
	if !ok {
		return e
	}
	e.State = status.State
	if p.owner == nil || status.State != api.StateQueued {
		return e
	}
	l := p.owner.live[key]
	e.WaitsFor = p.owner.waitsFor(now, l)
	if l.phase == phaseQueued {
		x := p.owner.sched.Explain(now, key)
		e.Position, e.RuledOut = x.Position, x.RuledOut
	}
	return e
}

// Workers lists the workers that have announced themselves to this owner, in the order
// of their first announcement.
func (p *Partition) Workers(now time.Duration) []api.WorkerStatus {
	if p.owner == nil {
		return nil
	}
	var list []api.WorkerStatus
	for _, w := range p.owner.workerOrder {
		if w.ann.Worker == "" {
			continue
		}
		s := api.WorkerStatus{
			Worker: w.name, Pool: w.ann.Pool, Rack: w.ann.Rack, FailureDomain: w.ann.FailureDomain,
			Region: w.ann.Region, State: w.status(now), Capacity: w.capacity, Slots: w.ann.Slots,
		}
		for _, a := range w.attempts {
			if a.reserved {
				s.Running++
				s.Reserved = s.Reserved.Add(a.live.rec.Spec.Resources)
			}
		}
		list = append(list, s)
	}
	return list
}

// status names the state of a worker as in api.WorkerStatus.
func (w *workerState) status(now time.Duration) string {
	switch {
	case w.lost:
		return "lost"
	case !w.synced || w.ann.Incarnation != w.incarnation:
		return "unsynced"
	case w.leaving:
		return "leaving"
	case w.failing || w.silent(now):
		return "unsynced"
	}
	return "ready"
}
