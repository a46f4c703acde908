package partition

import (
	"fmt"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// modelWorker implements a worker as in sections 3.5 and 3.9 of the design: it has a lease on
// its own clock, rejects older epochs, remembers which tasks it started or refused, and
// optionally has a journal.
type modelWorker struct {
	sim              *simulation
	name             string
	clock            simClock
	journal          bool
	up               bool
	leaving          bool
	pausedUntil      time.Duration
	partitionedUntil time.Duration // messages are lost until then
	processStarts    int
	restartedAt      time.Duration
	incarnation      string
	epoch            uint64
	leaseEnd         time.Duration // on the worker's clock
	running          map[api.TaskID]api.DispatchRequest
	order            []api.TaskID // keys of running, in order of their start
	ends             []api.TaskEnd
	taskStates       map[api.TaskID]string
	lastSync         time.Duration
}

// run calls fn once the worker is not paused, after stopping tasks whose lease has ended. It
// does nothing if the worker is down.
func (w *modelWorker) run(fn func()) {
	if w.sim.now < w.pausedUntil {
		w.sim.schedule(w.pausedUntil, func() { w.run(fn) })
		return
	}
	if w.up {
		w.expireLease()
		fn()
	}
}

func (w *modelWorker) localNow() time.Duration { return w.clock.read(w.sim.now) }

func (w *modelWorker) expireLease() {
	if w.localNow() > w.leaseEnd {
		for len(w.order) > 0 {
			w.endTask(w.order[0], api.EndStopped)
		}
	}
}

// conflicts reports whether the worker is executing the same task, or a task of another
// attempt of the same request. A paused process does not execute tasks beyond its lease, since
// it stops them before it does anything else.
func (w *modelWorker) conflicts(task api.TaskID) bool {
	for _, id := range w.order {
		if id.RequestKey == task.RequestKey && (id.Attempt != task.Attempt || id.Index == task.Index) &&
			w.localNow() <= w.leaseEnd {
			return true
		}
	}
	return false
}

func (w *modelWorker) endTask(id api.TaskID, kind api.EndKind) {
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
	e := taskEnd(id, kind, "")
	if kind == api.EndDone {
		e = taskEnd(id, kind, answerFor(id.Key, d.Body))
		w.sim.done[id] = true
	}
	w.ends = append(w.ends, e)
}

func answerFor(k string, body []byte) string { return fmt.Sprintf("%s of %s", body, k) }

// restart starts a new process after the given downtime. The process knows the tasks of the
// previous one only if the worker has a journal.
func (w *modelWorker) restart(down time.Duration) {
	w.up = false
	if w.journal {
		for len(w.order) > 0 {
			w.endTask(w.order[0], api.EndStopped)
		}
	} else {
		w.ends, w.taskStates = nil, map[api.TaskID]string{}
	}
	w.running, w.order = map[api.TaskID]api.DispatchRequest{}, nil
	w.processStarts++
	w.restartedAt = w.sim.now
	w.incarnation = fmt.Sprintf("%s-%d", w.name, w.processStarts)
	w.epoch, w.leaseEnd, w.leaving, w.pausedUntil = 0, 0, false, 0
	w.clock = w.sim.newClock()
	w.sim.schedule(w.sim.now+down, func() {
		w.up, w.lastSync = true, w.sim.now-time.Second
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
	w.sim.send(w, func() { w.sim.deliverToOwner(WorkerAnnounced{a}) })
}

func (w *modelWorker) response(state string, stale uint64) *api.DispatchResponse {
	return &api.DispatchResponse{State: state, Incarnation: w.incarnation, Token: int64(w.localNow() / ms), StaleEpoch: stale}
}

func (w *modelWorker) dispatch(d api.DispatchRequest) *api.DispatchResponse {
	w.sim.countOrder("dispatch", w, d.Incarnation)
	if d.Epoch < w.epoch {
		return w.response(api.DispatchRefused, w.epoch)
	}
	w.epoch = d.Epoch
	if state := w.taskStates[d.Task]; state != "" {
		return w.response(state, 0)
	}
	until := time.Duration(d.Token+d.LeaseMillis) * ms
	if d.Incarnation != w.incarnation || w.localNow() > until || w.sim.chance(w.sim.refusals) {
		w.taskStates[d.Task] = api.DispatchRefused
		if w.sim.chance(4 * w.sim.refusals) {
			w.ends = append(w.ends, taskEnd(d.Task, api.EndRefused, ""))
		}
		return w.response(api.DispatchRefused, 0)
	}
	w.leaseEnd = max(w.leaseEnd, until)
	w.start(d)
	return w.response(api.DispatchStarted, 0)
}

func (w *modelWorker) start(d api.DispatchRequest) {
	w.sim.checkStart(w, d)
	w.taskStates[d.Task] = api.DispatchStarted
	w.running[d.Task] = d
	w.order = append(w.order, d.Task)
	kind := api.EndDone
	switch w.sim.rng.IntN(20) {
	case 0:
		kind = api.EndFailed
	case 1:
		kind = api.EndStopped
	}
	w.finishAfter(w.sim.randomDuration(2500*ms), d.Task, kind)
}

// finishAfter ends a task after its run time. A task of a gang waits for the start of the
// others, so that an incomplete gang does not end by itself.
func (w *modelWorker) finishAfter(run time.Duration, id api.TaskID, kind api.EndKind) {
	incarnation := w.incarnation
	w.sim.schedule(w.sim.now+run, func() {
		w.run(func() {
			switch _, runs := w.running[id]; {
			case !runs || w.incarnation != incarnation:
			case w.sim.allTasksStarted(id):
				w.endTask(id, kind)
			default:
				w.sim.counts["wait for the gang"]++
				w.finishAfter(250*ms, id, kind)
			}
		})
	})
}

func (w *modelWorker) command(c api.TaskCommand, revoke bool) *api.DispatchResponse {
	kind := "stop"
	if revoke {
		kind = "revoke"
	}
	w.sim.countOrder(kind, w, c.Incarnation)
	w.sim.checkCommand(w, c)
	if c.Epoch < w.epoch {
		return w.response(api.DispatchRefused, w.epoch)
	}
	if c.Incarnation != w.incarnation && !w.journal {
		return w.response("unknown_task", 0)
	}
	if w.taskStates[c.Task] == "" && revoke {
		w.taskStates[c.Task] = api.DispatchRefused
	}
	if !revoke {
		w.endTask(c.Task, api.EndStopped)
	}
	if w.taskStates[c.Task] == "" {
		return w.response("unknown_task", 0)
	}
	return w.response(w.taskStates[c.Task], 0)
}

// sync renews the lease immediately. It answers immediately if it has ends to report, otherwise
// after a random part of the waiting time.
func (w *modelWorker) sync(q api.SyncRequest, answer func(any)) {
	w.sim.countOrder("sync", w, q.EchoIncarnation)
	if len(q.Acknowledged) > 0 {
		w.sim.countOrder("acknowledgement", w, q.EchoIncarnation)
	}
	if q.Epoch >= w.epoch {
		w.epoch, w.lastSync = q.Epoch, w.sim.now
		if q.EchoIncarnation == w.incarnation {
			w.leaseEnd = max(w.leaseEnd, time.Duration(q.EchoToken+q.LeaseMillis)*ms)
		}
		for _, id := range q.Acknowledged {
			w.sim.checkAcknowledged(w, q, id)
			for i := range w.ends {
				if w.ends[i].Task == id {
					w.ends = append(w.ends[:i:i], w.ends[i+1:]...)
					break
				}
			}
		}
	}
	hold := w.sim.randomDuration(time.Duration(q.WaitMillis) * ms)
	if len(w.ends) > 0 {
		hold = 0
	}
	w.sim.schedule(w.sim.now+hold, func() { w.run(func() { answer(w.report(q)) }) })
}

func (w *modelWorker) report(q api.SyncRequest) *api.SyncResponse {
	r := &api.SyncResponse{Worker: w.name, Incarnation: w.incarnation, Leaving: w.leaving}
	r.Token = max(int64(w.localNow()/ms), 1)
	if w.sim.issuedTokens[w.incarnation] == nil {
		w.sim.issuedTokens[w.incarnation] = map[int64]bool{}
	}
	w.sim.issuedTokens[w.incarnation][r.Token] = true
	if q.Epoch < w.epoch {
		r.StaleEpoch = w.epoch
		return r
	}
	r.Running = append(r.Running, w.order...)
	for _, e := range w.ends {
		if len(e.Answer) > 0 && w.sim.chance(w.sim.corruptAnswers) {
			e.Answer = e.Answer[:len(e.Answer)/2]
		}
		r.Ended = append(r.Ended, e)
	}
	return r
}
