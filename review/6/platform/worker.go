package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in for a worker that speaks the platform's protocol. A task's spec says what it
// does: "lasting", or "ms=N" for a task that is done after N milliseconds of work.
type worker struct {
	rec     *recorder
	sys     *system
	id      string
	address string
	labels  []string
	cpu     int64
	memory  int64
	born    time.Time
	server  *http.Server
	stopped chan struct{}

	// distance is how long an order and its answer take to arrive.
	distance  time.Duration
	mu        sync.Mutex
	fence     uint64
	leaseEnd  time.Time
	running   map[string]*taskRun
	lastEnded map[string]int64
	done      map[string]bool // tasks of which a run here is done
	finished  []end
	lastEnd   int64
	changed   chan struct{}
	seq       int64
	next      string // address for heartbeats
	gone      bool
}

type taskRun struct {
	number    int64
	task      string
	cpu, mem  int64
	startedAt time.Time
	lasting   bool
	stopping  bool
}

type end struct {
	number int64
	task   string
	run    int64
	how    string
}

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run_id"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fencing_token"`
	Ack      int64  `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
}

func newWorker(sys *system, number int, cpu, memory int64) (*worker, error) {
	w := &worker{rec: sys.rec, sys: sys, id: fmt.Sprintf("i-%08x", rand.Uint32()), address: fmt.Sprintf("%s:8080", sys.ip(100+number)),
		labels: []string{"a", fmt.Sprintf("r-%d", number/2)}, cpu: cpu, memory: memory, born: time.Now(), stopped: make(chan struct{}),
		running: map[string]*taskRun{}, lastEnded: map[string]int64{}, done: map[string]bool{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handle("run-start", w.start))
	mux.HandleFunc("POST /run-stop", w.handle("run-stop", w.stop))
	mux.HandleFunc("POST /hold", w.handle("hold", w.hold))
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(listener) }()
	go w.beat()
	go w.watchLease()
	return w, nil
}

// clock returns the worker's clock in milliseconds.
func (w *worker) clock() int64 { return 1000 + time.Since(w.born).Milliseconds() }

func (w *worker) timeOf(clock int64) time.Time {
	return w.born.Add(time.Duration(clock-1000) * time.Millisecond)
}

type response struct {
	status int
	body   map[string]any
}

func (w *worker) handle(call string, fn func(o order) response) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(r.Body)
		var o order
		if err != nil || json.Unmarshal(raw, &o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("Expect-Instance") != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		time.Sleep(w.distance)
		res := fn(o)
		if call != "hold" {
			w.rec.add("%s: %s %s run %d fence %d -> %d %v", w.id, call, o.Task, o.Run, o.Fence, res.status, res.body["reason"])
		}
		time.Sleep(w.distance)
		rw.Header().Set("Content-Type", "application/json")
		body, err := json.Marshal(res.body)
		if err != nil {
			panic(err)
		}
		rw.WriteHeader(res.status)
		_, _ = rw.Write(body)
	}
}

func (w *worker) refuse(reason string) response {
	return response{http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason, "born": w.born.UnixMilli()}}
}

func (w *worker) accept() response {
	return response{http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()}}
}

// admit checks the fence number of an order.
func (w *worker) admit(o order) bool {
	if o.Fence < w.fence {
		return false
	}
	w.fence = o.Fence
	return true
}

// extend takes the lease that an order asks for.
func (w *worker) extend(o order) {
	if o.Deadline == 0 {
		return
	}
	until := w.timeOf(min(o.Deadline, w.clock()+maxHold.Milliseconds()))
	if until.After(w.leaseEnd) {
		w.leaseEnd = until
	}
}

func (w *worker) start(o order) response {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admit(o) {
		return w.refuse("fence")
	}
	if r := w.running[o.Task]; r != nil && r.number == o.Run {
		w.extend(o)
		return w.accept()
	}
	if o.Run <= w.lastEnded[o.Task] {
		w.extend(o)
		return w.refuse("old")
	}
	if o.Deadline <= w.clock() {
		return w.refuse("late")
	}
	w.extend(o)
	cpu, mem, millis, lasting := parseSpec(o.Spec)
	r := &taskRun{number: o.Run, task: o.Task, cpu: cpu, mem: mem, startedAt: time.Now(), lasting: lasting}
	w.running[o.Task] = r
	w.rec.add("%s: START of %s run %d", w.id, o.Task, o.Run)
	if !lasting {
		time.AfterFunc(time.Duration(millis)*time.Millisecond, func() { w.endRun(r, "done") })
	}
	return w.accept()
}

// parseSpec reads a spec such as "cpu=500 mem=100 ms=2000" or "cpu=500 mem=100 lasting".
func parseSpec(spec string) (cpu, mem, millis int64, lasting bool) {
	for _, field := range strings.Fields(spec) {
		name, value, _ := strings.Cut(field, "=")
		n, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "cpu":
			cpu = n
		case "mem":
			mem = n
		case "ms":
			millis = n
		case "lasting":
			lasting = true
		}
	}
	return cpu, mem, millis, lasting
}

func (w *worker) stop(o order) response {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admit(o) {
		return w.refuse("fence")
	}
	w.lastEnded[o.Task] = max(w.lastEnded[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.number <= o.Run && !r.stopping {
		r.stopping = true
		time.AfterFunc(100*time.Millisecond, func() { w.endRun(r, "stopped") })
	}
	return w.accept()
}

// endRun ends a run, if it has not ended.
func (w *worker) endRun(r *taskRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endLocked(r, how)
}

func (w *worker) endLocked(r *taskRun, how string) {
	if w.gone || w.running[r.task] != r {
		return
	}
	delete(w.running, r.task)
	w.lastEnded[r.task] = max(w.lastEnded[r.task], r.number)
	w.done[r.task] = w.done[r.task] || how == "done"
	w.lastEnd++
	w.finished = append(w.finished, end{w.lastEnd, r.task, r.number, how})
	w.rec.add("%s: END of %s run %d: %s", w.id, r.task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) hold(o order) response {
	w.mu.Lock()
	if !w.admit(o) {
		defer w.mu.Unlock()
		return w.refuse("fence")
	}
	w.extend(o)
	w.finished = slices.DeleteFunc(w.finished, func(e end) bool { return e.number <= o.Ack })
	changed, wait := w.changed, len(w.finished) == 0 && o.Wait > 0
	w.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		case <-w.stopped:
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	res := w.accept()
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.running {
		percent := 50
		if r.lasting && time.Since(r.startedAt) > 300*time.Millisecond {
			percent = 100
		}
		running = append(running, []any{r.task, r.number, "", percent, 0})
	}
	for _, e := range w.finished[:min(len(w.finished), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	res.body["running"], res.body["finished"] = running, finished
	return res
}

// watchLease ends everything when the lease has expired.
func (w *worker) watchLease() {
	for !w.isGone() {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		if len(w.running) > 0 && time.Now().After(w.leaseEnd) {
			w.rec.add("%s: lease expired", w.id)
			for _, r := range w.running {
				w.endLocked(r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) isGone() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone
}

// beat sends heartbeats until the worker is gone.
func (w *worker) beat() {
	for !w.isGone() {
		w.beatOnce()
		select {
		case <-w.stopped:
			return
		case <-time.After(heartbeatMillis * time.Millisecond):
		}
	}
}

// beatOnce sends one heartbeat to one node after the other until one acknowledges it.
func (w *worker) beatOnce() {
	for range 5 {
		if w.sendBeat() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (w *worker) sendBeat() bool {
	w.mu.Lock()
	target := w.next
	w.seq++
	body := map[string]any{"service": service, "addr": w.address, "zone": zones[0], "version": "v1", "slots": 8, "state": "ready", "warmup_left_ms": 0,
		"capacity": map[string]int64{"cpu": w.cpu, "mem_mb": w.memory, "gpu": 0}, "labels": w.labels, "clock_ms": w.clock(), "seq": w.seq,
		"born": w.born.UnixMilli(), "machine": "m-" + w.id}
	w.mu.Unlock()
	if target == "" {
		target = fmt.Sprintf("%s:%d", w.sys.keepers[rand.IntN(len(w.sys.keepers))].ip, controlPort)
	}
	status, raw, err := post(target, "/instances/"+w.id+"/heartbeat", body, time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil || status/100 != 2 {
		w.next = ""
		return false
	}
	var reply struct {
		Next string `json:"heartbeat_addr"`
	}
	_ = json.Unmarshal(raw, &reply)
	w.next = reply.Next
	return true
}

// close ends the worker's process.
func (w *worker) close() {
	w.mu.Lock()
	w.gone = true
	w.mu.Unlock()
	close(w.stopped)
	w.server.Close()
}

// leaderAddress returns the address that was named for the next heartbeats, empty if none was.
func (w *worker) leaderAddress() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.next
}

// free returns the capacity that nothing on the worker uses.
func (w *worker) free() (cpu, mem int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	cpu, mem = w.cpu, w.memory
	for _, r := range w.running {
		cpu, mem = cpu-r.cpu, mem-r.mem
	}
	return cpu, mem
}

// tasks returns the names of the tasks that run.
func (w *worker) tasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for task := range w.running {
		out = append(out, task)
	}
	slices.Sort(out)
	return out
}

// fail lets the run of a task fail, and reports whether it ran here.
func (w *worker) fail(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.running[task]
	if r == nil || r.stopping {
		return false
	}
	w.endLocked(r, "failed")
	return true
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// post sends a JSON body. A body of type []byte is sent as it is.
func post(address, path string, body any, timeout time.Duration) (int, []byte, error) {
	raw, isRaw := body.([]byte)
	if !isRaw {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	return send(http.MethodPost, address, path, "", "", raw, timeout)
}

func send(method, address, path, host, key string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if host != "" {
		r.Host = host
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, raw, err
}
