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
	// ann is the announcement in use. candidate is one of another incarnation, which
	// counts once a sync is answered by that incarnation; its URL is tried when syncs fail.
	announcement api.Announcement
	candidate    api.Announcement
	// recorded is the announcement that was last proposed for the next owner.
	recordedAnnouncement api.Announcement
	announcedAt          time.Duration // when the last announcement came
	// incarnation is the one that answered the last sync; superseded lists former ones.
	incarnation string
	superseded  []string
	// synced: it has answered a sync of this epoch and is not lost. known: it is in the
	// scheduler. placeable: it may get new work.
	synced              bool
	inScheduler         bool
	placeable           bool
	failing             bool // the last sync failed
	leaving             bool
	lost                bool
	hasUnaccountedTasks bool // it runs tasks that are not in the account
	capacity            api.Resources
	// attempts are those without a confirmed end.
	attempts []*attempt
	// pendingEnds counts reported ends whose records are not committed; openEnds is how
	// many ends of the last answer could not be acknowledged.
	uncommittedEnds    int
	unacknowledgedEnds int
	quickResponses     int // answers in a row that came at once and without an end
	// acks are the ends to acknowledge; the first ackSent are in the outstanding sync.
	acks        []api.TaskID
	acksSent    int
	description placement.Worker
	lostAt      time.Duration

	// token is the newest one received from the incarnation, at tokenAt. echoedAt is
	// when the newest token that was ever sent back had been received.
	token         int64
	tokenAt       time.Duration
	echoedTokenAt time.Duration

	syncing      bool // a sync is outstanding
	syncSequence uint64
	syncSentAt   time.Duration
	syncURL      string
	nextSyncAt   time.Duration
}

// worker returns the state of a worker, new if needed.
func (o *owner) ensureWorker(name string) *workerState {
	w := o.workers[name]
	if w == nil {
		w = &workerState{name: name}
		o.workers[name] = w
		o.workerOrder = append(o.workerOrder, w)
	}
	return w
}

// announced takes an announcement. It proves nothing about the incarnation that lives
// now, since it may be delayed; a sync is started to find out.
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

// recordWorker keeps the announcement in use for the next owner.
func (o *owner) recordWorker(w *workerState) {
	if w.announcement != w.recordedAnnouncement {
		w.recordedAnnouncement = w.announcement
		o.propose(command{Worker: &workerCommand{Announcement: w.announcement}})
	}
}

// inheritWorkers syncs with the workers that announced themselves to former owners. They
// announce themselves again only after a second without a sync, and a failed call later
// their task lease of 2 s has ended.
func (o *owner) inheritWorkers(now time.Duration) {
	for _, a := range o.p.announcements() {
		o.ensureWorker(a.Worker).recordedAnnouncement = a
		o.handleAnnouncement(now, &a)
	}
}

// servesElsewhere reports whether the tables give the pool to another partition.
func (o *owner) isPoolElsewhere(pool string) bool {
	for i := range o.p.tables.Pools {
		if p := &o.p.tables.Pools[i]; p.Name == pool {
			return p.Home != o.p.cfg.Name
		}
	}
	return false
}

// enterScheduler adds a worker to the scheduler or updates it there.
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
		w.placeable = true
		o.sched.UpsertWorker(now, d)
		o.decisionDue = true
	}
	// Tasks may have been reported before the announcement that describes the worker.
	for _, a := range w.attempts {
		o.reserveRunning(now, a)
	}
	o.updatePlaceable(now, w)
}

// refresh tells the scheduler whether a worker may get new work.
func (o *owner) updatePlaceable(now time.Duration, w *workerState) {
	if !w.inScheduler {
		w.placeable = false
		return
	}
	may := w.synced && !w.failing && !w.leaving && !w.hasUnaccountedTasks && !w.isSyncOverdue(now)
	if may == w.placeable {
		return
	}
	w.placeable = may
	o.sched.SetPlaceable(now, w.name, may)
	o.decisionDue = o.decisionDue || may
}

// leaveScheduler removes a worker from the scheduler, with its reservations.
func (o *owner) removeFromScheduler(now time.Duration, w *workerState) {
	if w.inScheduler {
		o.sched.RemoveWorker(now, w.name)
	}
	w.inScheduler, w.placeable = false, false
	for _, a := range w.attempts {
		a.reserved = false
	}
}

// replaceIncarnation notes that another process answers in the worker's name. The
// former process and its tasks are dead.
func (o *owner) replaceIncarnation(now time.Duration, w *workerState, incarnation string) {
	if w.incarnation != "" {
		w.superseded = append(w.superseded, w.incarnation)
		if len(w.superseded) > maxSuperseded {
			w.superseded = w.superseded[1:]
		}
	}
	o.removeFromScheduler(now, w)
	w.incarnation = incarnation
	w.token, w.tokenAt = 0, 0
	w.acks, w.acksSent = nil, 0
	w.leaving, w.capacity = false, api.Resources{}
	if w.candidate.Incarnation == incarnation {
		w.announcement = w.candidate
		o.recordWorker(w)
	}
}

// tickWorker does what depends on time alone.
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

// loseWorker gives up a worker whose lease has certainly ended. An answer to the sync
// that is still outstanding would show an older state, so it is no longer expected.
func (o *owner) markWorkerLost(now time.Duration, w *workerState) {
	w.synced, w.syncing, w.lost = false, false, true
	w.token, w.tokenAt = 0, 0
	w.acks, w.acksSent = nil, 0
	w.lostAt = now
	o.removeFromScheduler(now, w)
	o.markAttemptsLost(now, w, "its worker was lost")
}

// loseAttempts records the attempts of a worker as lost.
func (o *owner) markAttemptsLost(now time.Duration, w *workerState, reason string) {
	for _, a := range append([]*attempt(nil), w.attempts...) {
		o.markLost(now, a, reason)
	}
}

// dropLostWorkers forgets workers that have been silent for long and hold nothing.
func (o *owner) removeLostWorkers(now time.Duration) {
	gone := func(w *workerState) bool {
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
	o.workerOrder = slices.DeleteFunc(o.workerOrder, gone)
}
