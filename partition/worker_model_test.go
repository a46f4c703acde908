package partition

import (
	"fmt"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// modelWorker follows sections 3.5 and 3.9 of the design: a lease on its own clock, an
// epoch fence, memory of what it ran or revoked, and optionally a journal.
type modelWorker struct {
	s           *sim
	name        string
	clock       simClock
	journal     bool
	up          bool
	leaving     bool
	pausedUntil time.Duration
	cutUntil    time.Duration // no message passes
	starts      int
	incarnation string
	epoch       uint64
	leaseEnd    time.Duration // on its own clock
	running     map[api.TaskID]api.Dispatch
	order       []api.TaskID // of running
	ends        []api.TaskEnd
	known       map[api.TaskID]string
	lastSync    time.Duration
}

// run calls fn when the worker can act; what it must stop is stopped first.
func (w *modelWorker) run(fn func()) {
	if w.s.now < w.pausedUntil {
		w.s.at(w.pausedUntil, func() { w.run(fn) })
		return
	}
	if w.up {
		w.expireLease()
		fn()
	}
}

func (w *modelWorker) local() time.Duration { return w.clock.read(w.s.now) }

func (w *modelWorker) expireLease() {
	if w.local() > w.leaseEnd {
		for len(w.order) > 0 {
			w.end(w.order[0], api.EndStopped)
		}
	}
}

// conflicts reports whether a start of the task would meet the same task, or a task of
// another attempt of the same request, that is executing now. A paused process does not
// execute beyond its lease, since it stops the task before anything else.
func (w *modelWorker) conflicts(task api.TaskID) bool {
	for _, id := range w.order {
		if id.RequestKey == task.RequestKey && (id.Attempt != task.Attempt || id.Index == task.Index) &&
			w.local() <= w.leaseEnd {
			return true
		}
	}
	return false
}

func (w *modelWorker) end(id api.TaskID, kind api.EndKind) {
	d, ok := w.running[id]
	if !ok {
		return
	}
	delete(w.running, id)
	for i := range w.order {
		if w.order[i] == id {
			w.order = append(w.order[:i:i], w.order[i+1:]...)
			break
		}
	}
	e := end(id, kind, "")
	if kind == api.EndDone {
		e = end(id, kind, answerFor(id.Key, d.Body))
		w.s.done[id] = true
	}
	w.ends = append(w.ends, e)
}

func answerFor(k string, body []byte) string { return fmt.Sprintf("%s of %s", body, k) }

// restart starts a new process, with the memory of the last one only if it has a journal.
func (w *modelWorker) restart(down time.Duration) {
	w.up = false
	if w.journal {
		for len(w.order) > 0 {
			w.end(w.order[0], api.EndStopped)
		}
	} else {
		w.ends, w.known = nil, map[api.TaskID]string{}
	}
	w.running, w.order = map[api.TaskID]api.Dispatch{}, nil
	w.starts++
	w.incarnation = fmt.Sprintf("%s-%d", w.name, w.starts)
	w.epoch, w.leaseEnd, w.leaving, w.pausedUntil = 0, 0, false, 0
	w.clock = w.s.newClock()
	w.s.at(w.s.now+down, func() {
		w.up, w.lastSync = true, w.s.now-time.Second
		w.announce()
	})
}

func (w *modelWorker) announcement() api.Announcement {
	return api.Announcement{
		Worker: w.name, Incarnation: w.incarnation, URL: w.name, Pool: "blue", Slots: 3, Connections: 64,
		Capacity: api.Resources{MilliCPU: 2500}, Leaving: w.leaving,
	}
}

func (w *modelWorker) announce() {
	a := w.announcement()
	w.s.send(w, func() { w.s.toOwner(WorkerAnnounced{a}) })
}

func (w *modelWorker) response(state string, stale uint64) *api.DispatchResponse {
	return &api.DispatchResponse{State: state, Incarnation: w.incarnation, Token: int64(w.local() / ms), StaleEpoch: stale}
}

func (w *modelWorker) dispatch(d api.Dispatch) *api.DispatchResponse {
	if d.Epoch < w.epoch {
		return w.response(api.DispatchRefused, w.epoch)
	}
	w.epoch = d.Epoch
	if state := w.known[d.Task]; state != "" {
		return w.response(state, 0)
	}
	until := time.Duration(d.Token+d.LeaseMillis) * ms
	if d.Incarnation != w.incarnation || w.local() > until || w.s.chance(w.s.refusals) {
		w.known[d.Task] = api.DispatchRefused
		if w.s.chance(4 * w.s.refusals) {
			w.ends = append(w.ends, end(d.Task, api.EndRefused, ""))
		}
		return w.response(api.DispatchRefused, 0)
	}
	w.leaseEnd = max(w.leaseEnd, until)
	w.start(d)
	return w.response(api.DispatchStarted, 0)
}

func (w *modelWorker) start(d api.Dispatch) {
	w.s.checkStart(w, d)
	w.known[d.Task] = api.DispatchStarted
	w.running[d.Task] = d
	w.order = append(w.order, d.Task)
	kind := api.EndDone
	switch w.s.rng.IntN(20) {
	case 0:
		kind = api.EndFailed
	case 1:
		kind = api.EndStopped
	}
	w.finishAfter(w.s.upTo(2500*ms), d.Task, kind)
}

// finishAfter ends a task that has run for its time. A task of a gang waits for the
// start of the others, so that a gang which is never whole does not end by itself.
func (w *modelWorker) finishAfter(run time.Duration, id api.TaskID, kind api.EndKind) {
	incarnation := w.incarnation
	w.s.at(w.s.now+run, func() {
		w.run(func() {
			switch _, runs := w.running[id]; {
			case !runs || w.incarnation != incarnation:
			case w.s.isWhole(id):
				w.end(id, kind)
			default:
				w.s.seen["wait for the gang"]++
				w.finishAfter(250*ms, id, kind)
			}
		})
	})
}

func (w *modelWorker) command(c api.TaskCommand, revoke bool) *api.DispatchResponse {
	if c.Epoch < w.epoch {
		return w.response(api.DispatchRefused, w.epoch)
	}
	if w.known[c.Task] == "" && revoke {
		w.known[c.Task] = api.DispatchRefused
	}
	if !revoke {
		w.end(c.Task, api.EndStopped)
	}
	if w.known[c.Task] == "" {
		return w.response("unknown_task", 0)
	}
	return w.response(w.known[c.Task], 0)
}

// sync grants the lease at once and answers at once if it has news, otherwise later.
func (w *modelWorker) sync(q api.SyncRequest, answer func(any)) {
	if q.Epoch >= w.epoch {
		w.epoch, w.lastSync = q.Epoch, w.s.now
		if q.EchoIncarnation == w.incarnation {
			w.leaseEnd = max(w.leaseEnd, time.Duration(q.EchoToken+q.LeaseMillis)*ms)
		}
		for _, id := range q.Acknowledged {
			w.s.checkAcknowledged(id)
			for i := range w.ends {
				if w.ends[i].Task == id {
					w.ends = append(w.ends[:i:i], w.ends[i+1:]...)
					break
				}
			}
		}
	}
	hold := w.s.upTo(time.Duration(q.WaitMillis) * ms)
	if len(w.ends) > 0 {
		hold = 0
	}
	w.s.at(w.s.now+hold, func() { w.run(func() { answer(w.report(q)) }) })
}

func (w *modelWorker) report(q api.SyncRequest) *api.SyncResponse {
	r := &api.SyncResponse{Worker: w.name, Incarnation: w.incarnation, Leaving: w.leaving}
	r.Token = max(int64(w.local()/ms), 1)
	if q.Epoch < w.epoch {
		r.StaleEpoch = w.epoch
		return r
	}
	r.Running = append(r.Running, w.order...)
	for _, e := range w.ends {
		if len(e.Answer) > 0 && w.s.chance(w.s.spoiled) {
			e.Answer = e.Answer[:len(e.Answer)/2]
		}
		r.Ended = append(r.Ended, e)
	}
	return r
}
