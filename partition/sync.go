package partition

import (
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// startSync sends a sync, which renews the worker's task lease, unless one is outstanding.
func (o *owner) startSync(now time.Duration, w *workerState) {
	url := w.announcement.URL
	if w.failing && w.candidate.URL != "" {
		url = w.candidate.URL
	}
	if w.syncing || url == "" {
		return
	}
	o.proposer.syncSequence++
	w.syncing, w.syncSequence, w.syncSentAt, w.syncURL = true, o.proposer.syncSequence, now, url
	w.echoedTokenAt = max(w.echoedTokenAt, w.tokenAt)
	w.acksSent = len(w.acks)
	o.emit(SendSync{Worker: w.name, URL: url, Sequence: w.syncSequence, Request: api.SyncRequest{
		Partition: o.p.cfg.Name, Epoch: o.epoch, EchoToken: w.token, EchoIncarnation: w.incarnation,
		LeaseMillis: api.Millis(o.p.cfg.TaskLease), Acknowledged: slices.Clone(w.acks),
		WaitMillis: api.Millis(w.syncWait()),
	}})
}

// syncWait returns how long the worker may hold the next sync. A failed sync has used up
// 1.5 s of the lease of 2 s, so the next one asks for an immediate answer; if it were held
// for 500 ms, the answer would arrive after the end of the lease.
func (w *workerState) syncWait() time.Duration {
	if w.failing {
		return 0
	}
	return maxSyncWait
}

// resumeSync sends the next sync once no reported end of the worker waits for its commit.
func (o *owner) resumeSync(now time.Duration, w *workerState) {
	if w.synced && w.uncommittedEnds == 0 && !w.failing {
		o.startSync(now, w)
	}
}

// acknowledge adds an end to those that the next sync acknowledges.
func (o *owner) acknowledge(w *workerState, id api.TaskID) {
	if !slices.Contains(w.acks, id) {
		w.acks = append(w.acks, id)
	}
}

// handleSyncFailed handles a sync that got no answer.
func (o *owner) handleSyncFailed(now time.Duration, e *SyncFailed) {
	if w := o.workers[e.Worker]; w != nil && w.syncing && w.syncSequence == e.Sequence {
		o.markSyncFailed(now, w)
	}
}

// markSyncFailed stops new placements on a worker until a sync succeeds. The leases of its
// tasks continue.
func (o *owner) markSyncFailed(now time.Duration, w *workerState) {
	if w.failing && w.syncURL == w.candidate.URL {
		w.candidate = api.Announcement{} // the sync to its URL failed
	}
	w.syncing, w.failing = false, true
	w.nextSyncAt = now + syncRetryInterval
	o.updatePlaceable(now, w)
}

// handleSyncAnswered handles a worker's answer to a sync.
func (o *owner) handleSyncAnswered(now time.Duration, e *SyncAnswered) {
	w, r := o.workers[e.Worker], &e.Response
	if w == nil || !w.syncing || w.syncSequence != e.Sequence {
		return
	}
	if r.StaleEpoch > o.epoch {
		o.disputeOwnership(e.Worker, r.StaleEpoch)
		return
	}
	if r.StaleEpoch != 0 || r.Worker != w.name || r.Incarnation == "" || r.Token < 1 ||
		slices.Contains(w.superseded, r.Incarnation) {
		o.markSyncFailed(now, w)
		return
	}
	w.syncing = false
	o.applyReport(now, w, r)
	o.scheduleSync(now, w)
}

// applyReport updates the state of a worker from its report. The order matters: ends must
// resolve attempts before reconcileMissing looks for attempts that are not listed.
func (o *owner) applyReport(now time.Duration, w *workerState, r *api.SyncResponse) {
	if r.Incarnation != w.incarnation {
		o.replaceIncarnation(now, w, r.Incarnation)
	}
	w.updateToken(now, r.Token)
	if now-w.syncSentAt < quickResponseTime && len(r.Ended) == 0 {
		w.quickResponses++
	} else {
		w.quickResponses = 0
	}
	w.synced, w.failing, w.lost = true, false, false
	w.acks, w.acksSent = slices.Delete(w.acks, 0, min(w.acksSent, len(w.acks))), 0
	w.leaving = w.leaving || r.Leaving || w.announcement.Leaving && w.announcement.Incarnation == w.incarnation
	if r.Capacity != nil {
		w.capacity = *r.Capacity
	}
	o.addToScheduler(now, w)
	w.unacknowledgedEnds = 0
	for i := range r.Ended {
		if !o.handleTaskEnd(now, w, &r.Ended[i]) {
			w.unacknowledgedEnds++
		}
	}
	o.reconcileRunning(now, w, r)
	o.reconcileMissing(now, w, r)
	for _, u := range r.Usage {
		if o.attempts[u.Task] != nil {
			o.sched.ReportUsage(now, u.Task.RequestKey, u.Used)
		}
	}
	o.updatePlaceable(now, w)
}

// scheduleSync sends the next sync immediately, except in three cases. If ends of this answer
// cannot be acknowledged yet, it waits for their commit, since the worker would immediately
// answer with the same ends. If the announcement of the worker's new incarnation is missing,
// it delays the sync, since the worker announces itself only while no sync reaches it. If the
// worker does not hold the calls, it limits their rate.
func (o *owner) scheduleSync(now time.Duration, w *workerState) {
	switch {
	case w.announcement.Incarnation != w.incarnation:
		w.nextSyncAt = now + unannouncedSyncInterval
	case w.unacknowledgedEnds > 0:
		w.nextSyncAt = now + maxAckDelay
	case w.quickResponses > maxQuickResponses:
		w.nextSyncAt = now + syncRetryInterval
	default:
		o.startSync(now, w)
	}
}

// reconcileRunning confirms the attempts that the worker lists as running. It stops a task
// that must not run. Until that task has ended, the worker gets no new work, since the task
// has no allocation.
func (o *owner) reconcileRunning(now time.Duration, w *workerState, r *api.SyncResponse) {
	foundUnallocated := false
	for _, id := range r.Running {
		a := o.attempts[id]
		if a == nil {
			a = o.adopt(now, w, id)
		}
		if a == nil || a.worker != w || a.incarnation != w.incarnation || a.state == stateLost {
			foundUnallocated = true
			o.emit(SendStop{Worker: w.name, URL: w.announcement.URL, Command: o.taskCommand(id, w.incarnation)})
			continue
		}
		o.confirmStart(now, a)
		o.sendRevokeOrStop(now, a)
	}
	w.hasUnallocatedTasks = foundUnallocated
}

// unclaimedRequest returns the request of a task that an older epoch may have dispatched
// without a durable claim, if that request has no final outcome. Otherwise it returns nil.
func (o *owner) unclaimedRequest(id api.TaskID) *liveRequest {
	l := o.requests[id.RequestKey]
	if l == nil || !l.inherited || l.rec.Spec.NonIdempotent || l.rec.State.IsFinal() ||
		attemptEpoch(id.Attempt) >= o.epoch || l.rec.attempt(id.Attempt) != nil {
		return nil
	}
	return l
}

// adopt adds an attempt for a running task without a recorded claim, unless the request has
// been placed again. It adopts a task of a gang only to stop it.
func (o *owner) adopt(now time.Duration, w *workerState, id api.TaskID) *attempt {
	l := o.unclaimedRequest(id)
	if l == nil || l.attemptCount > 0 {
		return nil
	}
	if l.phase != phaseAwaitingLeaseEnd && l.phase != phaseBackoff && l.phase != phaseActive {
		return nil
	}
	l.phase = phaseActive
	a := &attempt{
		request: l, worker: w, incarnation: w.incarnation, id: id,
		state: stateUncertain, dispatchExpiresAt: o.inheritedLeaseEnd, stopRequested: l.cancelRequested,
	}
	if l.rec.Spec.isGang() {
		a.stopRequested, a.unclaimed = true, true
		l.backoffReason = "the end of tasks that a former owner has started"
	}
	o.addAttempt(a)
	if !a.unclaimed {
		o.proposeClaim(now, a)
	}
	return a
}

// adoptEnded adds an attempt for an ended task without a recorded claim. The result of the
// task counts in every phase of the request, even if the request is in state unknown.
func (o *owner) adoptEnded(now time.Duration, w *workerState, id api.TaskID) *attempt {
	l := o.unclaimedRequest(id)
	if l == nil || l.rec.Spec.isGang() {
		return nil // the end of one task does not decide the state of a gang without a recorded claim
	}
	if a := o.adopt(now, w, id); a != nil {
		return a
	}
	a := &attempt{request: l, worker: w, incarnation: w.incarnation, id: id, state: stateLost, confirmed: true}
	o.addAttempt(a)
	return a
}

// reconcileMissing resolves the attempts that a worker does not list.
func (o *owner) reconcileMissing(now time.Duration, w *workerState, r *api.SyncResponse) {
	listed := make(map[api.TaskID]bool, len(r.Running)+len(r.Ended))
	for _, id := range r.Running {
		listed[id] = true
	}
	for i := range r.Ended {
		listed[r.Ended[i].Task] = true
	}
	for _, a := range append([]*attempt(nil), w.attempts...) {
		switch {
		case a.endProposed || a.state == stateClaiming:
		case a.incarnation != w.incarnation:
			o.markLost(now, a, "its worker was restarted")
		case !listed[a.id]:
			o.resolveMissing(now, w, a)
		}
	}
}

// resolveMissing resolves an attempt that its incarnation does not list. If the sync was sent
// after the dispatch had expired, the task never started and never will. A worker lists ends
// until they are acknowledged, so a worker that does not list a started task has lost it, and
// the task is not running.
func (o *owner) resolveMissing(now time.Duration, w *workerState, a *attempt) {
	switch {
	case a.confirmed && w.syncSentAt > a.confirmedAt:
		o.markLost(now, a, "its worker no longer knows the task")
	case a.confirmed:
	case w.syncSentAt >= a.dispatchExpiresAt:
		o.proposeEnd(now, a, attemptRefused, "the worker never received the task")
	case attemptEpoch(a.id.Attempt) < o.epoch:
		o.sendRevokeOrStop(now, a)
	}
}
