package partition

import (
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

// workerState is the owner's view of one worker.
type workerState struct {
	name string
	// announcement is the one in use. candidate is an announcement of another incarnation,
	// which replaces it once that incarnation answers a sync. The URL of the candidate is
	// tried when syncs fail.
	announcement api.Announcement
	candidate    api.Announcement
	// recordedAnnouncement is the one that was last proposed to be recorded for the next owner.
	recordedAnnouncement api.Announcement
	announcedAt          time.Duration // when the last announcement arrived
	// incarnation is the one that answered the last sync. superseded lists earlier ones.
	incarnation string
	superseded  []string
	// synced is set if the worker has answered a sync of this epoch and is not lost,
	// inScheduler if the scheduler has the worker, and placeable if it may get new work.
	synced              bool
	inScheduler         bool
	placeable           bool
	failing             bool // the last sync failed
	leaving             bool
	lost                bool
	hasUnallocatedTasks bool // runs tasks without an allocation
	capacity            api.Resources
	// attempts lists the worker's attempts without a confirmed end.
	attempts []*attempt
	// uncommittedEnds counts reported ends whose records are not committed.
	// unacknowledgedEnds counts the ends of the last answer that could not be acknowledged.
	uncommittedEnds    int
	unacknowledgedEnds int
	quickResponses     int // consecutive answers within quickResponseTime and without an end
	// acks lists the ends to acknowledge. The first acksSent are in the outstanding sync.
	// description is the one that the scheduler has.
	acks        []api.TaskID
	acksSent    int
	description placement.Worker
	lostAt      time.Duration

	// token is the newest token of the incarnation, received at tokenAt. echoedTokenAt is
	// when the newest token that the owner has ever echoed was received.
	token         int64
	tokenAt       time.Duration
	echoedTokenAt time.Duration

	syncing      bool // a sync is outstanding
	syncSequence uint64
	syncSentAt   time.Duration
	syncURL      string
	nextSyncAt   time.Duration
}

// ensureWorker returns the state of a worker and creates it if there is none.
func (o *owner) ensureWorker(name string) *workerState {
	w := o.workers[name]
	if w == nil {
		w = &workerState{name: name}
		o.workers[name] = w
		o.workerOrder = append(o.workerOrder, w)
	}
	return w
}

// handleAnnouncement handles an announcement. The announcement may have been delayed, so it
// does not prove which incarnation is running now; a sync is started to find out.
func (o *owner) handleAnnouncement(now time.Duration, a *api.Announcement) {
	if a.Worker == "" || a.Incarnation == "" || a.URL == "" || o.isPoolElsewhere(a.Pool) {
		return
	}
	w := o.ensureWorker(a.Worker)
	if slices.Contains(w.superseded, a.Incarnation) {
		return
	}
	w.announcedAt = now
	if a.Incarnation != w.incarnation && w.synced {
		w.candidate = *a
		if w.failing {
			o.startSync(now, w)
		}
		return
	}
	w.announcement = *a
	o.recordWorker(w)
	if w.synced {
		w.leaving = w.leaving || a.Leaving
		o.addToScheduler(now, w)
	}
	o.startSync(now, w)
}

// recordWorker proposes to record the announcement in use for the next owner.
func (o *owner) recordWorker(w *workerState) {
	if w.announcement != w.recordedAnnouncement {
		w.recordedAnnouncement = w.announcement
		o.propose(command{Worker: &workerCommand{Announcement: w.announcement}})
	}
}

// inheritWorkers starts syncs with the workers that announced themselves to earlier owners.
// Waiting for their announcements would take too long: a worker announces itself only after
// 1 s without a sync, and after one more failed call its task lease of 2 s has ended.
func (o *owner) inheritWorkers(now time.Duration) {
	for _, a := range o.p.announcements() {
		o.ensureWorker(a.Worker).recordedAnnouncement = a
		o.handleAnnouncement(now, &a)
	}
}

// isPoolElsewhere reports whether the tables assign the pool to another partition.
func (o *owner) isPoolElsewhere(pool string) bool {
	for i := range o.p.tables.Pools {
		if p := &o.p.tables.Pools[i]; p.Name == pool {
			return p.Home != o.p.cfg.Name
		}
	}
	return false
}

// addToScheduler adds a worker to the scheduler or updates its description there.
func (o *owner) addToScheduler(now time.Duration, w *workerState) {
	if !w.synced || w.announcement.Incarnation != w.incarnation {
		return
	}
	if w.capacity == (api.Resources{}) {
		w.capacity = w.announcement.Capacity
	}
	d := placement.Worker{
		Name: w.name, Pool: w.announcement.Pool, Rack: w.announcement.Rack, FailureDomain: w.announcement.FailureDomain,
		Region: w.announcement.Region, Capacity: w.capacity, Slots: w.announcement.Slots, Connections: w.announcement.Connections,
	}
	if !w.inScheduler || d != w.description {
		w.description, w.inScheduler = d, true
		o.setPlaceable(now, w, "")
		o.sched.UpsertWorker(now, d)
		o.decisionDue = true
	}
	// The worker may have reported tasks before the announcement that describes it arrived.
	for _, a := range w.attempts {
		o.allocateRunning(now, a)
	}
	o.updatePlaceable(now, w)
}

// updatePlaceable computes whether a worker may get new work and tells the scheduler about
// changes.
func (o *owner) updatePlaceable(now time.Duration, w *workerState) {
	if !w.inScheduler {
		w.placeable = false
		return
	}
	if !o.setPlaceable(now, w, o.unavailableReason(now, w)) {
		return
	}
	o.sched.SetPlaceable(now, w.name, w.placeable)
	o.decisionDue = o.decisionDue || w.placeable
}

// setPlaceable records whether a worker may get new work, which it may if reason is empty. It
// reports whether that has changed.
func (o *owner) setPlaceable(now time.Duration, w *workerState, reason string) bool {
	placeable := reason == ""
	if placeable == w.placeable {
		return false
	}
	w.placeable = placeable
	o.emit(WorkerAvailability{Worker: w.name, Reason: reason, ReportAge: w.reportAge(now)})
	return true
}

// unavailableReason returns why a worker may get no new work, or an empty string.
func (o *owner) unavailableReason(now time.Duration, w *workerState) string {
	switch {
	case !w.synced:
		return "no sync since its lease ended"
	case w.failing:
		return "sync failed"
	case w.leaving:
		return "leaving"
	case w.hasUnallocatedTasks:
		return "runs tasks without an allocation"
	case w.isSyncOverdue(now):
		return "sync overdue"
	}
	return ""
}

// reportAge returns the time since the newest report of a worker, 0 if there is none.
func (w *workerState) reportAge(now time.Duration) time.Duration {
	if w.tokenAt == 0 {
		return 0
	}
	return now - w.tokenAt
}

// removeFromScheduler removes a worker and its allocations from the scheduler. reason is for the log.
func (o *owner) removeFromScheduler(now time.Duration, w *workerState, reason string) {
	if w.inScheduler {
		o.sched.RemoveWorker(now, w.name)
	}
	o.setPlaceable(now, w, reason)
	w.inScheduler = false
	for _, a := range w.attempts {
		a.allocated = false
	}
}

// replaceIncarnation records that another incarnation answers under the worker's name. The
// previous process and its tasks have ended.
func (o *owner) replaceIncarnation(now time.Duration, w *workerState, incarnation string) {
	if w.incarnation != "" {
		w.superseded = append(w.superseded, w.incarnation)
		if len(w.superseded) > maxSuperseded {
			w.superseded = w.superseded[1:]
		}
	}
	o.removeFromScheduler(now, w, "worker restarted")
	w.incarnation = incarnation
	w.token, w.tokenAt = 0, 0
	w.acks, w.acksSent = nil, 0
	w.leaving, w.capacity = false, api.Resources{}
	if w.candidate.Incarnation == incarnation {
		w.announcement = w.candidate
		o.recordWorker(w)
	}
}

// tickWorker handles the timeouts of a worker and starts a sync if one is due.
func (o *owner) tickWorker(now time.Duration, w *workerState) {
	if w.syncing && now-w.syncSentAt > syncTimeout {
		o.markSyncFailed(now, w)
	}
	if w.synced && now >= o.leaseEnd(w) {
		o.markWorkerLost(now, w)
	}
	if w.synced && !w.syncing && now >= w.nextSyncAt {
		o.startSync(now, w)
	}
	o.updatePlaceable(now, w)
}

// markWorkerLost marks a worker whose lease has certainly ended as lost. It discards the
// outstanding sync, since an answer to it would show an older state, and sends another. A worker
// that hears of syncs announces itself only 1 s later.
func (o *owner) markWorkerLost(now time.Duration, w *workerState) {
	o.removeFromScheduler(now, w, "lease ended")
	w.synced, w.syncing, w.lost = false, false, true
	w.token, w.tokenAt = 0, 0
	w.acks, w.acksSent = nil, 0
	w.lostAt = now
	o.markAttemptsLost(now, w, "its worker was lost")
	o.startSync(now, w)
}

// markAttemptsLost marks all attempts of a worker as lost.
func (o *owner) markAttemptsLost(now time.Duration, w *workerState, reason string) {
	for _, a := range append([]*attempt(nil), w.attempts...) {
		o.markLost(now, a, reason)
	}
}

// removeLostWorkers removes workers that have neither synced nor announced themselves for
// lostWorkerRetention and have no attempts.
func (o *owner) removeLostWorkers(now time.Duration) {
	removeIfExpired := func(w *workerState) bool {
		since := max(w.lostAt, w.announcedAt, o.startedAt)
		if w.synced || w.syncing || len(w.attempts) > 0 || now-since < lostWorkerRetention {
			return false
		}
		delete(o.workers, w.name)
		if _, recorded := o.p.workers[w.name]; recorded {
			o.propose(command{Worker: &workerCommand{Announcement: api.Announcement{Worker: w.name}, Gone: true}})
		}
		return true
	}
	o.workerOrder = slices.DeleteFunc(o.workerOrder, removeIfExpired)
}
