package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

var oneRoute = []route{{"r-drafts", "/lohu930/"}}

func oneTask(estimate int64) jobBody {
	return jobBody{Spec: "draft", Phases: []phase{{Count: 1, CPU: 500, MemMB: 256, Estimate: estimate}}}
}

// taskOf returns the name of the only task of a job.
func taskOf(id string) string { return id + ".0.0.0" }

// cancelCase: many jobs are cancelled while the leader is killed. Each cancel is repeated until it
// is acknowledged. A task of a cancelled job must be gone at the end of a calm stretch of
// stable_window_ms + cancel_ms + stop_timeout_ms.
func cancelCase(s *scene) (result, error) {
	const work = 40 * time.Second
	if err := s.begin(8, oneRoute, func(string) time.Duration { return work }); err != nil {
		return notPlayed, err
	}
	out := held
	for round := range 6 {
		r, err := s.cancelRound(round + 1)
		if err != nil {
			return notPlayed, err
		}
		if r == broken {
			out = broken
			break
		}
	}
	return out, nil
}

func (s *scene) cancelRound(round int) (result, error) {
	const jobs = 120
	var ids []string
	for range jobs {
		id := newID()
		if status, _ := s.callers.call(http.MethodPost, "/lohu930/"+id, oneTask(30000), 5); status != 200 {
			return notPlayed, fmt.Errorf("a job is not accepted: %d", status)
		}
		ids = append(ids, id)
	}
	if err := s.await(10*time.Second, "all jobs run", func() bool {
		for _, id := range ids {
			if s.runs.starts(taskOf(id)) == 0 {
				return false
			}
		}
		return true
	}); err != nil {
		return notPlayed, err
	}
	leader := s.leader()
	if leader == nil {
		return notPlayed, fmt.Errorf("no leader is known")
	}
	var wg sync.WaitGroup
	var acked atomic.Int64
	first := make(chan struct{}, jobs)
	for _, id := range ids {
		wg.Go(func() {
			for range 8 {
				status, _ := s.callers.call(http.MethodDelete, "/lohu930/"+id, nil, 2)
				if status == 200 || status == 410 {
					acked.Add(1)
					first <- struct{}{}
					return
				}
			}
		})
	}
	<-first
	if s.trouble {
		leader.kill(syscall.SIGKILL)
	}
	wg.Wait()
	if acked.Load() != jobs {
		return notPlayed, fmt.Errorf("%d of %d cancels are acknowledged", acked.Load(), jobs)
	}
	s.rec.add("round %d: all cancels are acknowledged", round)
	time.Sleep(restartDelay + stableWindow + cancelBound + stopTimeout + time.Second)
	left := 0
	for _, w := range s.workers {
		for task, started := range w.tasks() {
			left++
			s.rec.add("worker %s still runs %s, started %v ago, its job's cancel was acknowledged", w.id, task, time.Since(started).Round(time.Millisecond))
		}
	}
	s.say("round %d: %d tasks of cancelled jobs run on after the calm stretch", round, left)
	if left > 0 {
		return broken, nil
	}
	return held, nil
}

// pingCase: another writer sends one ping whose id holds a byte that cannot be read. The jobs that
// were accepted before must still be known.
func pingCase(s *scene) (result, error) {
	if err := s.begin(4, oneRoute, func(string) time.Duration { return 20 * time.Second }); err != nil {
		return notPlayed, err
	}
	var ids []string
	for range 10 {
		id := newID()
		if status, _ := s.callers.call(http.MethodPost, "/lohu930/"+id, oneTask(20000), 5); status != 200 {
			return notPlayed, fmt.Errorf("a job is not accepted: %d", status)
		}
		ids = append(ids, id)
	}
	id := "i-%ff3a91c2"
	if !s.trouble {
		id = "i-7f3a91c2" // the same ping with an id that can be read
	}
	body := fmt.Sprintf(`{"service":%q,"addr":"%s.99:%d","zone":"port-louis-a","version":"v1","slots":8,"state":"ready","warmup_left_ms":0,`+
		`"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"clock_ms":482113,"seq":4,"born":%d}`, serviceName, s.sys.net, s.sys.base, time.Now().UnixMilli())
	for _, k := range s.sys.keepers {
		s.rec.add("ping of another writer to %s, id %s", k.name, id)
		status, out := s.callers.do(http.MethodPost, k.control(), "", "/instances/"+id+"/heartbeat", []byte(body), time.Second)
		s.rec.add("ping answered %d %s", status, out)
		if status/100 == 2 || status/100 == 4 {
			break
		}
	}
	time.Sleep(20 * time.Second)
	end := time.Now().Add(finishBound)
	lost := map[string]string{}
	for _, id := range ids {
		lost[id] = "no answer"
	}
	for time.Now().Before(end) && len(lost) > 0 {
		for _, id := range ids {
			if lost[id] == "" {
				continue
			}
			status, state := s.callers.state("/lohu930/" + id)
			if state != "" {
				delete(lost, id)
			} else {
				lost[id] = fmt.Sprint(status)
			}
			if !time.Now().Before(end) {
				break
			}
		}
	}
	dead := 0
	for _, k := range s.sys.keepers {
		s.say("%s ended by itself %d times", k.name, k.endsByItself())
		if k.endsByItself() >= 3 {
			dead++
		}
	}
	s.say("%d of %d accepted jobs have no state: %v", len(lost), len(ids), lost)
	if len(lost) > 0 || 2*dead >= len(s.sys.keepers) {
		return broken, nil
	}
	return held, nil
}

// lossyProxy forwards each connection to target. While lose is set it drops what the target sends, and
// leaves the connection open.
type lossyProxy struct {
	addr string
	lose atomic.Bool
}

func newLossyProxy(addr, target string) (*lossyProxy, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &lossyProxy{addr: addr}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(in, target)
		}
	}()
	return p, nil
}

func (p *lossyProxy) forward(in net.Conn, target string) {
	defer in.Close()
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	go func() { _, _ = io.Copy(out, in) }()
	buffer := make([]byte, 4096)
	for {
		n, err := out.Read(buffer)
		if err != nil {
			return
		}
		if p.lose.Load() {
			continue
		}
		if _, err := in.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// deregisterCase: a worker that drains deregisters, and the ack is lost on its way. The worker sends
// it again to the next node a second later, and ends after the ack.
func deregisterCase(s *scene) (result, error) {
	if err := s.begin(4, oneRoute, func(string) time.Duration { return 25 * time.Second }); err != nil {
		return notPlayed, err
	}
	var ids []string
	for range 12 {
		id := newID()
		if status, _ := s.callers.call(http.MethodPost, "/lohu930/"+id, oneTask(25000), 5); status != 200 {
			return notPlayed, fmt.Errorf("a job is not accepted: %d", status)
		}
		ids = append(ids, id)
	}
	if err := s.await(10*time.Second, "all jobs run", func() bool {
		for _, id := range ids {
			if s.runs.starts(taskOf(id)) == 0 {
				return false
			}
		}
		return true
	}); err != nil {
		return notPlayed, err
	}
	time.Sleep(time.Second)
	var w *worker
	for _, other := range s.workers {
		if w == nil || len(other.tasks()) > len(w.tasks()) {
			w = other
		}
	}
	s.rec.add("worker %s drains with %d tasks", w.id, len(w.tasks()))
	w.setState("draining")
	if err := s.await(5*time.Second, "draining is acknowledged", func() bool { return w.acknowledged("draining") }); err != nil {
		return notPlayed, err
	}
	time.Sleep(drainBound + time.Second)
	keeper := s.leader()
	if keeper == nil {
		keeper = s.sys.keepers[0]
	}
	proxy, err := newLossyProxy(fmt.Sprintf("%s.90:%d", s.sys.net, s.sys.base), keeper.control())
	if err != nil {
		return notPlayed, err
	}
	proxy.lose.Store(s.trouble)
	sent := time.Now()
	if !w.deregister(proxy.addr) {
		s.rec.add("the ack of the sign-off was lost")
		time.Sleep(time.Until(sent.Add(time.Second)))
		for _, k := range s.sys.keepers {
			if k != keeper && w.deregister(k.control()) {
				break
			}
		}
	}
	w.finish("it has left")
	time.Sleep(2 * time.Second)
	doubled := s.runs.twice()
	for _, d := range doubled {
		s.say("two runs at the same time: %s", d)
	}
	if len(doubled) > 0 {
		return broken, nil
	}
	return held, nil
}

// refusedCase: the operator removes a route while jobs come in on it and one entry machine stands
// still. A client that was told 404 on all its attempts must not see its job run.
func refusedCase(s *scene) (result, error) {
	both := []route{{"r-drafts", "/lohu930/"}, {"r-amend", "/pufi791/"}}
	if err := s.begin(8, both, func(string) time.Duration { return 300 * time.Millisecond }); err != nil {
		return notPlayed, err
	}
	for round := range 6 {
		n, err := s.refusedRound(round+1, both)
		if err != nil {
			return notPlayed, err
		}
		if n > 0 {
			return broken, nil
		}
	}
	return held, nil
}

func (s *scene) refusedRound(round int, both []route) (int, error) {
	var mu sync.Mutex
	refused := map[string][]int{}
	var wg sync.WaitGroup
	end := time.Now().Add(3 * time.Second)
	for range 60 {
		wg.Go(func() {
			for time.Now().Before(end) {
				id := newID()
				statuses := s.submitOnce("/pufi791/" + id)
				if last := statuses[len(statuses)-1]; last == 404 || last == 429 || last == 503 {
					mu.Lock()
					refused[id] = statuses
					mu.Unlock()
					if last == 404 {
						return
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	edge := s.sys.entries[0]
	if s.trouble {
		edge.freeze(1500 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	status := s.callers.put(2*round, configBody(2*round, both[:1]), 5*time.Second)
	wg.Wait()
	if status != 200 {
		return 0, fmt.Errorf("the change is not acknowledged: %d", status)
	}
	time.Sleep(2 * time.Second)
	n := 0
	for id, statuses := range refused {
		if started := s.runs.starts(taskOf(id)); started > 0 {
			n++
			s.rec.add("job %s was refused on all attempts (%v), and a worker has started it %d times", id, statuses, started)
		}
	}
	s.say("round %d: %d jobs were refused, %d of them were started", round, len(refused), n)
	if n == 0 {
		if s.callers.put(2*round+1, configBody(2*round+1, both), 5*time.Second) != 200 {
			return 0, fmt.Errorf("the second change is not acknowledged")
		}
		time.Sleep(stableWindow)
	}
	return n, nil
}

// submitOnce hands one job in and returns the statuses of all attempts, 0 where none came.
func (s *scene) submitOnce(path string) []int {
	var statuses []int
	body := oneTask(300)
	first := rand.IntN(len(s.sys.entries))
	for try := range 4 {
		e := s.sys.entries[(first+try)%len(s.sys.entries)]
		s.rec.add("POST %s to %s, try %d", path, e.name, try+1)
		status, _ := s.callers.do(http.MethodPost, e.front(), routeHost, path, body, deadline)
		s.rec.add("POST %s answered %d", path, status)
		statuses = append(statuses, status)
		if status != 0 && status != 502 && status != 504 {
			break
		}
	}
	return statuses
}

// drainCase: one worker of ten fails part of its requests: it leaves orders to start a task
// unanswered for some seconds. It drains meanwhile. No start may be sent to it later than drain_ms
// after the ack of draining.
func drainCase(s *scene) (result, error) {
	if err := s.begin(10, oneRoute, func(string) time.Duration { return 20 * time.Second }); err != nil {
		return notPlayed, err
	}
	var grey *worker
	submit := func() error {
		status, _ := s.callers.call(http.MethodPost, "/lohu930/"+newID(), oneTask(20000), 5)
		if status != 200 {
			return fmt.Errorf("a job is not accepted: %d", status)
		}
		return nil
	}
	if err := submit(); err != nil {
		return notPlayed, err
	}
	if err := s.await(5*time.Second, "the first job runs", func() bool {
		for _, w := range s.workers {
			if len(w.tasks()) > 0 {
				grey = w
			}
		}
		return grey != nil
	}); err != nil {
		return notPlayed, err
	}
	time.Sleep(500 * time.Millisecond)
	var mu sync.Mutex
	var ackedAt time.Time
	var unanswered int
	var late []string
	isGrey := s.trouble
	grey.setOnStart(func(task string, run uint32) bool {
		mu.Lock()
		defer mu.Unlock()
		if isGrey {
			unanswered++
			return false
		}
		if after := time.Since(ackedAt); !ackedAt.IsZero() && after > drainBound {
			late = append(late, fmt.Sprintf("%s run %d on %s, %v after the ack", task, run, grey.id, after.Round(time.Millisecond)))
		}
		return true
	})
	for range 4 {
		if err := submit(); err != nil {
			return notPlayed, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	mu.Lock()
	if s.trouble && unanswered == 0 {
		mu.Unlock()
		return notPlayed, fmt.Errorf("no start was sent to the grey worker")
	}
	mu.Unlock()
	grey.setState("draining")
	if err := s.await(5*time.Second, "draining is acknowledged", func() bool { return grey.acknowledged("draining") }); err != nil {
		return notPlayed, err
	}
	mu.Lock()
	ackedAt = time.Now()
	mu.Unlock()
	time.Sleep(drainBound + 500*time.Millisecond)
	mu.Lock()
	isGrey = false
	mu.Unlock()
	s.rec.add("the grey worker answers all orders again")
	time.Sleep(4 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	for _, l := range late {
		s.say("order to start on a draining worker: %s", l)
	}
	s.say("%d orders came later than drain_ms after the ack", len(late))
	if len(late) > 0 {
		return broken, nil
	}
	return held, nil
}

// renameCase: a version removes a route and adds another one at the same host and prefix. The jobs
// that were accepted there must still be known.
func renameCase(s *scene) (result, error) {
	if err := s.begin(4, oneRoute, func(string) time.Duration { return 20 * time.Second }); err != nil {
		return notPlayed, err
	}
	var ids []string
	for range 10 {
		id := newID()
		if status, _ := s.callers.call(http.MethodPost, "/lohu930/"+id, oneTask(20000), 5); status != 200 {
			return notPlayed, fmt.Errorf("a job is not accepted: %d", status)
		}
		ids = append(ids, id)
	}
	time.Sleep(stableWindow)
	name := "r-drafts"
	if s.trouble {
		name = "r-drafts-2"
	}
	if s.callers.put(2, configBody(2, []route{{name, "/lohu930/"}}), 5*time.Second) != 200 {
		return notPlayed, fmt.Errorf("the change is not acknowledged")
	}
	time.Sleep(3 * time.Second)
	gone := 0
	for _, id := range ids {
		status, state := s.callers.state("/lohu930/" + id)
		s.rec.add("job %s: %d %s, %d starts", id, status, state, s.runs.starts(taskOf(id)))
		if status == http.StatusGone {
			gone++
		}
	}
	s.say("%d of %d accepted jobs are answered 410", gone, len(ids))
	if gone > 0 {
		return broken, nil
	}
	return held, nil
}

// removedCase: a version removes a route while jobs come in on it, and a later one adds it again.
// Every job that was answered 200 must be known.
func removedCase(s *scene) (result, error) {
	both := []route{{"r-drafts", "/lohu930/"}, {"r-amend", "/pufi791/"}}
	if err := s.begin(8, both, func(string) time.Duration { return 300 * time.Millisecond }); err != nil {
		return notPlayed, err
	}
	for round := range 5 {
		lost, err := s.removedRound(round+1, both)
		if err != nil {
			return notPlayed, err
		}
		if lost > 0 {
			return broken, nil
		}
	}
	return held, nil
}

func (s *scene) removedRound(round int, both []route) (int, error) {
	var mu sync.Mutex
	var accepted []string
	var wg sync.WaitGroup
	end := time.Now().Add(time.Second)
	for range 60 {
		wg.Go(func() {
			for time.Now().Before(end) {
				id := newID()
				statuses := s.submitOnce("/pufi791/" + id)
				switch statuses[len(statuses)-1] {
				case http.StatusOK:
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
				case http.StatusNotFound:
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	second := both
	if s.trouble {
		second = both[:1]
	}
	status := s.callers.put(2*round, configBody(2*round, second), 5*time.Second)
	wg.Wait()
	if status != 200 {
		return 0, fmt.Errorf("the change is not acknowledged: %d", status)
	}
	time.Sleep(3 * time.Second)
	if s.callers.put(2*round+1, configBody(2*round+1, both), 5*time.Second) != 200 {
		return 0, fmt.Errorf("the second change is not acknowledged")
	}
	time.Sleep(4 * time.Second)
	lost := 0
	for _, id := range accepted {
		if status, _ := s.callers.state("/pufi791/" + id); status == http.StatusGone {
			lost++
			s.rec.add("job %s was answered 200 when it was handed in, and 410 now; it was started %d times", id, s.runs.starts(taskOf(id)))
		}
	}
	s.say("round %d: %d of %d accepted jobs are answered 410", round, lost, len(accepted))
	return lost, nil
}

// foreignCase: another writer sends one ping for a service that no configuration names, with the
// address of a worker.
func foreignCase(s *scene) (result, error) {
	if err := s.begin(4, oneRoute, func(string) time.Duration { return 25 * time.Second }); err != nil {
		return notPlayed, err
	}
	var ids []string
	for range 12 {
		id := newID()
		if status, _ := s.callers.call(http.MethodPost, "/lohu930/"+id, oneTask(25000), 5); status != 200 {
			return notPlayed, fmt.Errorf("a job is not accepted: %d", status)
		}
		ids = append(ids, id)
	}
	if err := s.await(10*time.Second, "all jobs run", func() bool {
		for _, id := range ids {
			if s.runs.starts(taskOf(id)) == 0 {
				return false
			}
		}
		return true
	}); err != nil {
		return notPlayed, err
	}
	time.Sleep(time.Second)
	var w *worker
	for _, other := range s.workers {
		if w == nil || len(other.tasks()) > len(w.tasks()) {
			w = other
		}
	}
	if s.trouble {
		body := fmt.Sprintf(`{"service":"monitor","addr":%q,"zone":"port-louis-a","version":"v1","slots":8,"state":"ready","warmup_left_ms":0,`+
			`"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"clock_ms":482113,"seq":4,"born":%d}`, w.addr, time.Now().UnixMilli())
		for _, k := range s.sys.keepers {
			s.rec.add("ping of another writer to %s", k.name)
			status, out := s.callers.do(http.MethodPost, k.control(), "", "/instances/i-0badc0de/heartbeat", []byte(body), time.Second)
			s.rec.add("ping answered %d %s", status, out)
			if status/100 == 2 || status/100 == 4 {
				break
			}
		}
	}
	time.Sleep(8 * time.Second)
	doubled := s.runs.twice()
	for _, d := range doubled {
		s.say("two runs at the same time: %s", d)
	}
	if len(doubled) > 0 {
		return broken, nil
	}
	return held, nil
}

// repeatCase: one accepted job has very many repetitions, all due at once.
func repeatCase(s *scene) (result, error) {
	if err := s.begin(4, oneRoute, func(string) time.Duration { return 500 * time.Millisecond }); err != nil {
		return notPlayed, err
	}
	repetitions := 20
	if s.trouble {
		repetitions = 50000
	}
	job := oneTask(500)
	job.Repetitions, job.StartAt = repetitions, time.Now().UnixMilli()
	many := newID()
	if status, _ := s.callers.call(http.MethodPost, "/lohu930/"+many, job, 5); status != 200 {
		s.rec.add("the job with many repetitions is not accepted: %d", status)
	}
	time.Sleep(5 * time.Second)
	var ids []string
	for range 5 {
		id := newID()
		if status, _ := s.callers.call(http.MethodPost, "/lohu930/"+id, oneTask(500), 5); status == 200 {
			ids = append(ids, id)
		}
	}
	time.Sleep(20 * time.Second)
	ends := 0
	for _, k := range s.sys.keepers {
		s.say("%s ended by itself %d times", k.name, k.endsByItself())
		ends += k.endsByItself()
	}
	status, state := s.callers.state("/lohu930/" + many)
	s.say("%d of 5 later jobs were accepted; state of the first: %d %s", len(ids), status, state)
	if ends >= 3 || state == "" && status != 0 || len(ids) < 5 {
		return broken, nil
	}
	return held, nil
}

// trailingCase: a configuration whose body goes on after its end is invalid.
func trailingCase(s *scene) (result, error) {
	if err := s.begin(2, oneRoute, func(string) time.Duration { return time.Second }); err != nil {
		return notPlayed, err
	}
	two := []route{{"r-drafts", "/lohu930/"}, {"r-amend", "/pufi791/"}}
	body := configBody(7, two)
	if s.trouble {
		body = append(body, []byte(`]}`)...)
	}
	status := s.callers.put(7, body, 5*time.Second)
	time.Sleep(3 * time.Second)
	got, raw := s.callers.do(http.MethodGet, s.sys.keepers[0].control(), "", "/config/get", nil, time.Second)
	s.say("put answered %d, get answered %d, the same body: %v", status, got, bytes.Equal(raw, body))
	if s.trouble && status == 200 {
		return broken, nil
	}
	return held, nil
}
