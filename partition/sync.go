package partition

import (
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// startSync sends a sync unless one is outstanding. It grants the task lease.
func (o *owner) startSync(now time.Duration, w *workerState) {
	url := w.ann.URL
	if w.failing && w.candidate.URL != "" {
		url = w.candidate.URL
	}
	if w.syncing || url == "" {
		return
	}
	o.log.syncs++
	w.syncing, w.syncSequence, w.syncSentAt, w.syncURL = true, o.log.syncs, now, url
	w.echoedAt = max(w.echoedAt, w.tokenAt)
	w.ackSent = len(w.acks)
	o.emit(SendSync{Worker: w.name, URL: url, Sequence: w.syncSequence, Request: api.SyncRequest{
		Partition: o.p.cfg.Name, Epoch: o.epoch, EchoToken: w.token, EchoIncarnation: w.incarnation,
		LeaseMillis: api.Millis(o.p.cfg.TaskLease), Acknowledged: slices.Clone(w.acks),
		WaitMillis: api.Millis(w.syncWait()),
	}})
}

// syncWait is how long the worker may hold the next sync. A failed sync has used up 1.5 s
// of the lease of 2 s, so the one after it asks for an answer at once; held for 500 ms, it
// came after the end of the lease.
func (w *workerState) syncWait() time.Duration {
	if w.failing {
		return 0
	}
	return syncWait
}

// resumeSync sends the sync that waited for end records.
func (o *owner) resumeSync(now time.Duration, w *workerState) {
	if w.synced && w.pendingEnds == 0 && !w.failing {
		o.startSync(now, w)
	}
}

// acknowledge lists an end to be acknowledged with the next sync.
func (o *owner) acknowledge(w *workerState, id api.TaskID) {
	if !slices.Contains(w.acks, id) {
		w.acks = append(w.acks, id)
	}
}

// syncFailed handles a sync without an answer.
func (o *owner) syncFailed(now time.Duration, e *SyncFailed) {
	if w := o.workers[e.Worker]; w != nil && w.syncing && w.syncSequence == e.Sequence {
		o.failSync(now, w)
	}
}

// failSync stops new placements on a worker; its tasks keep their lease.
func (o *owner) failSync(now time.Duration, w *workerState) {
	if w.failing && w.syncURL == w.candidate.URL {
		w.candidate = api.Announcement{} // it has been tried
	}
	w.syncing, w.failing = false, true
	w.nextSyncAt = now + syncRetry
	o.refresh(now, w)
}

// syncAnswered takes a worker's report.
func (o *owner) syncAnswered(now time.Duration, e *SyncAnswered) {
	w, r := o.workers[e.Worker], &e.Response
	if w == nil || !w.syncing || w.syncSequence != e.Sequence {
		return
	}
	if r.StaleEpoch > o.epoch {
		o.disputed(e.Worker, r.StaleEpoch)
		return
	}
	if r.StaleEpoch != 0 || r.Worker != w.name || r.Incarnation == "" || r.Token < 1 ||
		slices.Contains(w.superseded, r.Incarnation) {
		o.failSync(now, w)
		return
	}
	w.syncing = false
	o.takeReport(now, w, r)
	o.scheduleSync(now, w)
}

// takeReport brings the state of a worker in line with its report. The order matters:
// ends resolve attempts before these can be found missing.
func (o *owner) takeReport(now time.Duration, w *workerState, r *api.SyncResponse) {
	if r.Incarnation != w.incarnation {
		o.replaceIncarnation(now, w, r.Incarnation)
	}
	w.noteToken(now, r.Token)
	if now-w.syncSentAt < quickAnswer && len(r.Ended) == 0 {
		w.quick++
	} else {
		w.quick = 0
	}
	w.synced, w.failing, w.lost = true, false, false
	w.acks, w.ackSent = slices.Delete(w.acks, 0, min(w.ackSent, len(w.acks))), 0
	w.leaving = w.leaving || r.Leaving || w.ann.Leaving && w.ann.Incarnation == w.incarnation
	if r.Capacity != nil {
		w.capacity = *r.Capacity
	}
	o.enterScheduler(now, w)
	w.openEnds = 0
	for i := range r.Ended {
		if !o.ended(now, w, &r.Ended[i]) {
			w.openEnds++
		}
	}
	o.takeRunning(now, w, r)
	o.takeMissing(now, w, r)
	for _, u := range r.Usage {
		if o.attempts[u.Task] != nil {
			o.sched.ReportUsage(now, u.Task.RequestKey, u.Used)
		}
	}
	o.refresh(now, w)
}

// scheduleSync sends the next sync at once, except in three cases. If ends of this answer
// cannot be acknowledged yet, it waits for their commit, since the worker would answer at
// once with the same ends. If the announcement of the worker's new incarnation is
// missing, it pauses, since the worker announces itself only while no sync reaches it. And
// a worker that does not hold the call is paced.
func (o *owner) scheduleSync(now time.Duration, w *workerState) {
	switch {
	case w.ann.Incarnation != w.incarnation:
		w.nextSyncAt = now + announceWait
	case w.openEnds > 0:
		w.nextSyncAt = now + ackHold
	case w.quick > quickAnswers:
		w.nextSyncAt = now + syncRetry
	default:
		o.startSync(now, w)
	}
}

// takeRunning confirms the attempts that the worker lists as running. One that must not
// run is stopped, and its worker gets no new work meanwhile, since it is not in the
// account.
func (o *owner) takeRunning(now time.Duration, w *workerState, r *api.SyncResponse) {
	strays := false
	for _, id := range r.Running {
		a := o.attempts[id]
		if a == nil {
			a = o.adopt(now, w, id)
		}
		if a == nil || a.worker != w || a.incarnation != w.incarnation || a.state == attemptGone {
			strays = true
			o.emit(SendStop{Worker: w.name, URL: w.ann.URL, Command: api.TaskCommand{Task: id, Epoch: o.epoch}})
			continue
		}
		o.confirm(now, a)
		o.ask(now, a)
	}
	w.strays = strays
}

// unclaimed returns the open request of which an older epoch may have dispatched the
// task without its claim becoming durable, or nil.
func (o *owner) unclaimed(id api.TaskID) *liveRequest {
	l := o.live[id.RequestKey]
	if l == nil || !l.inherited || l.rec.Spec.NonIdempotent || l.rec.State.IsFinal() ||
		attemptEpoch(id.Attempt) >= o.epoch || l.rec.attempt(id.Attempt) != nil {
		return nil
	}
	return l
}

// adopt takes over a running task without a recorded claim, unless the request has been
// placed again. A gang's task is taken over only to be stopped.
func (o *owner) adopt(now time.Duration, w *workerState, id api.TaskID) *attempt {
	l := o.unclaimed(id)
	if l == nil || l.number > 0 {
		return nil
	}
	if l.phase != phaseDoubt && l.phase != phaseBackoff && l.phase != phaseActive {
		return nil
	}
	l.phase = phaseActive
	a := &attempt{
		live: l, worker: w, incarnation: w.incarnation, id: id,
		state: attemptUncertain, expires: o.doubtUntil, halting: l.cancelWanted,
	}
	if l.rec.Spec.isGang() {
		a.halting, a.unclaimed = true, true
		l.delayed = "the end of tasks that a former owner has started"
	}
	o.addAttempt(a)
	if !a.unclaimed {
		o.proposeClaim(now, a)
	}
	return a
}

// adoptEnded lists an ended task without a recorded claim. Its result counts in every
// phase of the request, also when that is unknown.
func (o *owner) adoptEnded(now time.Duration, w *workerState, id api.TaskID) *attempt {
	l := o.unclaimed(id)
	if l == nil || l.rec.Spec.isGang() {
		return nil // one task's end decides nothing about a gang of which no claim is known
	}
	if a := o.adopt(now, w, id); a != nil {
		return a
	}
	a := &attempt{live: l, worker: w, incarnation: w.incarnation, id: id, state: attemptGone, confirmed: true}
	o.addAttempt(a)
	return a
}

// takeMissing resolves the attempts that a worker does not list.
func (o *owner) takeMissing(now time.Duration, w *workerState, r *api.SyncResponse) {
	listed := make(map[api.TaskID]bool, len(r.Running)+len(r.Ended))
	for _, id := range r.Running {
		listed[id] = true
	}
	for i := range r.Ended {
		listed[r.Ended[i].Task] = true
	}
	for _, a := range append([]*attempt(nil), w.attempts...) {
		switch {
		case a.ending || a.state == attemptClaiming:
		case a.incarnation != w.incarnation:
			o.lose(now, a, "its worker was restarted")
		case !listed[a.id]:
			o.missing(now, w, a)
		}
	}
}

// missing handles an attempt that its incarnation does not list. If the sync was sent
// after the dispatch had expired, the task never started and never will. A worker lists
// ends until they are acknowledged, so one that does not list a started task has failed;
// the task does not run.
func (o *owner) missing(now time.Duration, w *workerState, a *attempt) {
	switch {
	case a.confirmed && w.syncSentAt > a.confirmedAt:
		o.lose(now, a, "its worker no longer knows the task")
	case a.confirmed:
	case w.syncSentAt >= a.expires:
		o.proposeEnd(now, a, attemptRefused, "the worker never received the task")
	case attemptEpoch(a.id.Attempt) < o.epoch:
		o.ask(now, a)
	}
}
