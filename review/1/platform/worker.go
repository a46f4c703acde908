package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is one life of a stand-in worker that follows PROTOCOL.md.
type worker struct {
	rec     *record
	runs    *runLog
	id      string
	ip      string
	addr    string
	rack    string
	targets []string // where it may send pings
	born    int64
	clock0  time.Time
	work    func(task string) time.Duration
	// onStart, if set, says whether an order to start a task is answered and carried out.
	onStart func(task string, run uint32) bool
	http    *http.Client
	server  *http.Server
	done    chan struct{}

	mu        sync.Mutex
	fence     uint64
	lease     int64
	running   map[string]*taskRun
	highest   map[string]uint32 // highest run that was stopped or has ended, by task
	ended     []endedRun
	lastEnd   uint64
	changed   chan struct{}
	state     string
	ackedAs   string // state in the newest ping that was acknowledged
	nextPing  string
	over      bool
	pingAgain chan struct{}
}

type taskRun struct {
	run     uint32
	spec    string
	started time.Time
	timer   *time.Timer
	ending  bool
}

type endedRun struct {
	number uint64
	task   string
	run    uint32
	how    string
}

// runLog records which worker runs which task, and when a second run began beside another.
type runLog struct {
	mu       sync.Mutex
	running  map[string]map[string]uint32 // runs by task and worker
	doubled  []string
	begun    map[string]int // starts by task
	doneTask map[string]int // done ends by task
}

func newRunLog() *runLog {
	return &runLog{running: map[string]map[string]uint32{}, begun: map[string]int{}, doneTask: map[string]int{}}
}

func (l *runLog) begin(task, worker string, run uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begun[task]++
	for other, r := range l.running[task] {
		l.doubled = append(l.doubled, fmt.Sprintf("%s: run %d on %s began while run %d was at work on %s", task, run, worker, r, other))
	}
	if l.running[task] == nil {
		l.running[task] = map[string]uint32{}
	}
	l.running[task][worker] = run
}

func (l *runLog) end(task, worker, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running[task], worker)
	if how == "done" {
		l.doneTask[task]++
	}
}

func (l *runLog) twice() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.doubled...)
}

func (l *runLog) starts(task string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.begun[task]
}

const workerCPU = 32000

func newWorker(s *system, runs *runLog, n int, id string, work func(string) time.Duration) (*worker, error) {
	w := &worker{rec: s.rec, runs: runs, id: id, ip: fmt.Sprintf("%s.%d", s.net, 100+n), rack: fmt.Sprintf("r1-%d", n%3+1), targets: s.controls(),
		born: time.Now().UnixMilli(), clock0: time.Now(), work: work, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, done: make(chan struct{}),
		running: map[string]*taskRun{}, highest: map[string]uint32{}, changed: make(chan struct{}), state: "ready", pingAgain: make(chan struct{}, 1)}
	w.addr = fmt.Sprintf("%s:%d", w.ip, s.base+3)
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serveStart)
	mux.HandleFunc("POST /run-stop", w.serveStop)
	mux.HandleFunc("POST /hold", w.serveHold)
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("Instance-Id", w.id) })
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	go w.ping()
	go w.watchLease()
	w.rec.add("worker %s up at %s", w.id, w.addr)
	return w, nil
}

func (w *worker) clock() int64 { return 1 + time.Since(w.clock0).Milliseconds() }

// finish ends the worker's life and all that runs on it.
func (w *worker) finish(why string) {
	w.mu.Lock()
	if w.over {
		w.mu.Unlock()
		return
	}
	w.over = true
	for task, r := range w.running {
		r.timer.Stop()
		w.runs.end(task, w.id, "gone")
		w.rec.add("worker %s: %s run %d ends with the worker", w.id, task, r.run)
	}
	w.running = map[string]*taskRun{}
	close(w.done)
	w.mu.Unlock()
	w.rec.add("worker %s ends: %s", w.id, why)
	_ = w.server.Close()
}

// setOnStart sets onStart.
func (w *worker) setOnStart(fn func(task string, run uint32) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onStart = fn
}

// setState changes the state and pings at once.
func (w *worker) setState(state string) {
	w.mu.Lock()
	w.state = state
	w.mu.Unlock()
	w.pingAgain <- struct{}{}
}

func (w *worker) acknowledged(state string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ackedAs == state
}

func (w *worker) ping() {
	next := 0
	for seq := 1; ; seq++ {
		w.mu.Lock()
		target, state := w.nextPing, w.state
		w.mu.Unlock()
		if target == "" {
			target = w.targets[next%len(w.targets)]
			next++
		}
		body, _ := json.Marshal(map[string]any{"service": serviceName, "addr": w.addr, "zone": "port-louis-a", "version": "v1", "slots": 8, "state": state,
			"warmup_left_ms": 0, "capacity": map[string]int64{"cpu": workerCPU, "mem_mb": 65536, "gpu": 0}, "labels": []string{"a", w.rack},
			"clock_ms": w.clock(), "seq": seq, "born": w.born, "machine": "m-" + w.id, "remaining_ms": 2500})
		status, out := w.post("http://"+target+"/instances/"+w.id+"/heartbeat", body)
		var m struct {
			Next string `json:"heartbeat_addr"`
		}
		_ = json.Unmarshal(out, &m)
		pause := heartbeat
		w.mu.Lock()
		w.nextPing = ""
		if status/100 == 2 {
			w.nextPing = m.Next
			if w.ackedAs != state {
				w.ackedAs = state
				w.rec.add("worker %s: %s acknowledged by %s", w.id, state, target)
			}
		} else {
			pause = 100 * time.Millisecond
		}
		w.mu.Unlock()
		select {
		case <-w.done:
			return
		case <-w.pingAgain:
		case <-time.After(pause):
		}
	}
}

func (w *worker) post(url string, body []byte) (int, []byte) {
	client := *w.http
	client.Timeout = time.Second
	resp, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, out
}

// deregister tells one machine that the worker leaves, and reports whether that was acknowledged.
func (w *worker) deregister(target string) bool {
	w.rec.add("worker %s: deregister to %s", w.id, target)
	status, _ := w.post("http://"+target+"/instances/"+w.id+"/deregister", []byte("{}"))
	w.rec.add("worker %s: deregister answered %d", w.id, status)
	return status/100 == 2
}

func (w *worker) watchLease() {
	for {
		select {
		case <-w.done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		w.mu.Lock()
		if w.clock() > w.lease {
			for task := range w.running {
				w.endRun(task, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// endRun ends the run of a task. The caller holds the lock.
func (w *worker) endRun(task, how string) {
	r := w.running[task]
	if r == nil || w.over {
		return
	}
	r.timer.Stop()
	delete(w.running, task)
	w.runs.end(task, w.id, how)
	w.highest[task] = max(w.highest[task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, endedRun{w.lastEnd, task, r.run, how})
	close(w.changed)
	w.changed = make(chan struct{})
	w.rec.add("worker %s: %s run %d ends %s", w.id, task, r.run, how)
}

type order struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run_id"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fencing_token"`
	Cursor   uint64 `json:"ack_cursor"`
	WaitMS   int64  `json:"wait_ms"`
}

// decode reads an order. It answers and returns false if the order is not for this life.
func (w *worker) decode(rw http.ResponseWriter, r *http.Request, o *order) bool {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	if err := json.Unmarshal(raw, o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return false
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

func (w *worker) answer(rw http.ResponseWriter, status int, reason string) {
	m := map[string]any{"clock_ms": w.clock()}
	if reason != "" {
		m["reason"] = reason
	}
	raw, _ := json.Marshal(m)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(raw)
}

// extend prolongs the lease. The caller holds the lock.
func (w *worker) extend(deadline int64) {
	if deadline > 0 {
		w.lease = max(w.lease, min(deadline, w.clock()+maxHold.Milliseconds()))
	}
}

func (w *worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	var o order
	if !w.decode(rw, r, &o) {
		return
	}
	w.mu.Lock()
	onStart := w.onStart
	w.mu.Unlock()
	if onStart != nil && !onStart(o.Task, o.Run) {
		w.rec.add("worker %s: start of %s run %d left unanswered", w.id, o.Task, o.Run)
		<-r.Context().Done()
		return
	}
	w.mu.Lock()
	status, reason := w.start(o)
	w.mu.Unlock()
	w.answer(rw, status, reason)
}

// start carries out an order to start a task. The caller holds the lock.
func (w *worker) start(o order) (int, string) {
	status, reason := http.StatusOK, ""
	switch current := w.running[o.Task]; {
	case w.over:
		return http.StatusServiceUnavailable, ""
	case o.Fence < w.fence:
		status, reason = http.StatusConflict, "fence"
	case o.Deadline > 0 && o.Deadline <= w.clock():
		status, reason = http.StatusConflict, "late"
	case current != nil && current.run == o.Run:
		w.extend(o.Deadline)
	case o.Run <= w.highest[o.Task] || current != nil && o.Run < current.run:
		w.extend(o.Deadline)
		status, reason = http.StatusConflict, "old"
	default:
		w.extend(o.Deadline)
		task, run := o.Task, o.Run
		t := &taskRun{run: run, spec: o.Spec, started: time.Now()}
		t.timer = time.AfterFunc(w.work(task), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if now := w.running[task]; now != nil && now.run == run && !now.ending {
				w.endRun(task, "done")
			}
		})
		w.running[task] = t
		w.runs.begin(task, w.id, run)
	}
	if reason != "fence" {
		w.fence = max(w.fence, o.Fence)
	}
	w.rec.add("worker %s: start of %s run %d, fence %d: %d %s", w.id, o.Task, o.Run, o.Fence, status, reason)
	return status, reason
}

func (w *worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	var o order
	if !w.decode(rw, r, &o) {
		return
	}
	w.mu.Lock()
	status, reason := http.StatusOK, ""
	current := w.running[o.Task]
	switch {
	case o.Fence < w.fence:
		status, reason = http.StatusConflict, "fence"
	case current != nil && current.run == o.Run:
		w.fence = o.Fence
		if !current.ending {
			current.ending = true
			time.AfterFunc(50*time.Millisecond, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if now := w.running[o.Task]; now == current {
					w.endRun(o.Task, "stopped")
				}
			})
		}
	default:
		w.fence = o.Fence
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	}
	w.mu.Unlock()
	w.rec.add("worker %s: stop of %s run %d, fence %d: %d %s", w.id, o.Task, o.Run, o.Fence, status, reason)
	w.answer(rw, status, reason)
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	var o order
	if !w.decode(rw, r, &o) {
		return
	}
	w.mu.Lock()
	if o.Fence < w.fence {
		w.mu.Unlock()
		w.answer(rw, http.StatusConflict, "fence")
		return
	}
	w.fence = o.Fence
	w.extend(o.Deadline)
	kept := w.ended[:0:0]
	for _, e := range w.ended {
		if e.number > o.Cursor {
			kept = append(kept, e)
		}
	}
	w.ended = kept
	changed := w.changed
	empty := len(w.ended) == 0
	w.mu.Unlock()
	if empty && o.WaitMS > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		case <-w.done:
			return
		}
	}
	w.mu.Lock()
	running, finished := [][]any{}, [][]any{}
	for task, t := range w.running {
		running = append(running, []any{task, t.run, "", 100, 100})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	raw, _ := json.Marshal(map[string]any{"clock_ms": w.clock(), "born": w.born, "running": running, "finished": finished})
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(raw)
}

// tasks returns the tasks that run now.
func (w *worker) tasks() map[string]time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]time.Time{}
	for task, r := range w.running {
		out[task] = r.started
	}
	return out
}
