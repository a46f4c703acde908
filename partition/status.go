package partition

import (
	"encoding/hex"
	"fmt"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// Stats holds counts of a partition. On a replica that is not the owner, all but Records are
// 0.
type Stats struct {
	Records  int // records of requests
	Waiters  int // calls that wait for a reply
	Pending  int // commands that wait to be proposed
	InFlight int // batches that are proposed and not applied
	// InvalidAnswers counts answers with a wrong length or digest since the ownership began.
	InvalidAnswers int
	Scheduler      SchedulerStats
}

// Stats returns the current counts.
func (p *Partition) Stats() Stats {
	s := Stats{Records: len(p.records)}
	if o := p.owner; o != nil {
		s.Waiters, s.InvalidAnswers = len(o.waiters), o.invalidAnswers
		s.Pending, s.InFlight = len(o.proposer.pending), len(o.proposer.inFlight)
		s.Scheduler = o.sched.Stats()
	}
	return s
}

// Status returns the state of a request as this replica knows it, and whether it has a
// record. The state may be outdated on a replica that is not the owner.
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

// status returns the state according to the record.
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

// status returns the state according to the record, completed with the owner's knowledge.
func (o *owner) status(r *record) *api.RequestStatus {
	s := r.status()
	l := o.requests[r.Spec.Key]
	if l == nil || r.State.IsOutcome() {
		return s
	}
	if len(r.Attempts) == 0 && len(l.attempts) == 0 {
		s.WaitedMillis = api.Millis(max(o.now-l.acceptedAt, 0))
	}
	if r.Spec.isGang() {
		o.gangStatus(l, s)
		return s
	}
	for _, a := range l.attempts {
		switch a.state {
		case stateRunning:
			s.State, s.Worker = api.StateRunning, a.worker.name
		case stateUncertain, stateClaiming:
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

// waitsFor returns what a queued request waits for.
func (o *owner) waitsFor(now time.Duration, l *liveRequest) string {
	switch l.phase {
	case phaseQueued:
		reason := "a worker of pool " + l.queuedPool
		if e := o.sched.Explain(now, l.key); e.WaitsFor != "" {
			reason = e.WaitsFor
		}
		if o.p.routeOf(&l.rec.Spec) == nil && len(o.p.tables.Routes) > 0 {
			return fmt.Sprintf("a route for kind %q, which the tables no longer have; until then it stays in pool %q and waits for %s",
				l.rec.Spec.sentKind(), l.queuedPool, reason)
		}
		return reason
	case phaseAwaitingLeaseEnd:
		return "the end of leases that the former owner may have granted"
	case phaseClosing:
		return "the cancel to become durable"
	}
	return l.backoffReason
}

// Explain returns why a request has not started. State is empty if there is no record.
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
	l := p.owner.requests[key]
	e.WaitsFor = p.owner.waitsFor(now, l)
	if l.phase == phaseQueued {
		explanation := p.owner.sched.Explain(now, key)
		e.Position, e.RuledOut = explanation.Position, explanation.RuledOut
	}
	return e
}

// Workers returns the workers that have announced themselves to this owner, in the order in
// which the owner learned of them. It returns nil on a replica that is not the owner.
func (p *Partition) Workers(now time.Duration) []api.WorkerStatus {
	if p.owner == nil {
		return nil
	}
	var list []api.WorkerStatus
	for _, w := range p.owner.workerOrder {
		if w.announcement.Worker == "" {
			continue
		}
		s := api.WorkerStatus{
			Worker: w.name, Pool: w.announcement.Pool, Rack: w.announcement.Rack, FailureDomain: w.announcement.FailureDomain,
			Region: w.announcement.Region, State: w.status(now), Capacity: w.capacity, Slots: w.announcement.Slots,
		}
		for _, a := range w.attempts {
			if a.allocated {
				s.Running++
				// Reserved in the API is the allocation.
				s.Reserved = s.Reserved.Add(a.request.rec.Spec.Resources)
			}
		}
		list = append(list, s)
	}
	return list
}

// status returns the state of a worker as in api.WorkerStatus.
func (w *workerState) status(now time.Duration) string {
	switch {
	case w.lost:
		return "lost"
	case !w.synced || w.announcement.Incarnation != w.incarnation:
		return "unsynced"
	case w.leaving:
		return "leaving"
	case w.failing || w.isSyncOverdue(now):
		return "unsynced"
	}
	return "ready"
}
