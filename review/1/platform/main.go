// Command standins runs one case of the review: it starts the project's programs and the stand-ins
// of clients, workers and the operator, and checks one rule.
package main

import (
	"fmt"
	"os"
	"time"
)

// result is the outcome of a case.
type result int

const (
	held       result = 0
	broken     result = 1
	notPlayed  result = 2
	caseMaxAge        = 118 * time.Second
)

// scene is what all cases need.
type scene struct {
	rec     *record
	sys     *system
	callers *callers
	runs    *runLog
	trouble bool
	workers []*worker
}

var cases = map[string]func(*scene) (result, error){
	"cancel":     cancelCase,
	"ping":       pingCase,
	"deregister": deregisterCase,
	"refused":    refusedCase,
	"drain":      drainCase,
	"repeat":     repeatCase,
	"foreign":    foreignCase,
	"removed":    removedCase,
	"rename":     renameCase,
	"trailing":   trailingCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		os.Exit(int(notPlayed))
	}
	os.Exit(int(play(cases[os.Args[1]], os.Args[2])))
}

func play(run func(*scene) (result, error), dir string) result {
	rec, err := newRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	defer rec.close()
	sys, err := newSystem(rec, 5, 2)
	if err != nil {
		rec.add("not played: %v", err)
		return notPlayed
	}
	defer sys.stop()
	s := &scene{rec: rec, sys: sys, callers: newCallers(sys), runs: newRunLog(), trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		for _, w := range s.workers {
			w.finish("the case is over")
		}
	}()
	type outcome struct {
		result
		err error
	}
	ended := make(chan outcome, 1)
	go func() {
		r, err := run(s)
		ended <- outcome{r, err}
	}()
	out := outcome{notPlayed, fmt.Errorf("not over after %v", caseMaxAge-8*time.Second)}
	select {
	case out = <-ended:
	case <-time.After(caseMaxAge - 8*time.Second):
	}
	if out.err != nil {
		rec.add("not played: %v", out.err)
		fmt.Println("not played:", out.err)
		return notPlayed
	}
	rec.add("result %d", out.result)
	return out.result
}

// say writes a line to the record and to standard output.
func (s *scene) say(format string, args ...any) {
	s.rec.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// begin starts the system with the first configuration and n workers, and waits until jobs are
// accepted and done.
func (s *scene) begin(n int, routes []route, work func(string) time.Duration) error {
	if err := s.sys.start(); err != nil {
		return err
	}
	if s.callers.put(1, configBody(1, routes), 15*time.Second) != 200 {
		return fmt.Errorf("the first configuration is not acknowledged")
	}
	for i := range n {
		if err := s.addWorker(i, fmt.Sprintf("i-%08x", 0x7f3a0000+i), work); err != nil {
			return err
		}
	}
	if !s.callers.awaitReady(10 * time.Second) {
		return fmt.Errorf("the entry machines are not ready")
	}
	for _, w := range s.workers {
		if err := s.await(5*time.Second, "a worker is known", func() bool { return w.acknowledged("ready") }); err != nil {
			return err
		}
	}
	time.Sleep(stableWindow)
	return nil
}

func (s *scene) addWorker(n int, id string, work func(string) time.Duration) error {
	w, err := newWorker(s.sys, s.runs, n, id, work)
	if err == nil {
		s.workers = append(s.workers, w)
	}
	return err
}

func (s *scene) await(limit time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}

// leader returns the keeper that leads: the one that the newest ping was directed to.
func (s *scene) leader() *machine {
	count := map[string]int{}
	for _, w := range s.workers {
		w.mu.Lock()
		count[w.nextPing]++
		w.mu.Unlock()
	}
	var best *machine
	for _, k := range s.sys.keepers {
		if n := count[k.control()]; n > 0 && (best == nil || n > count[best.control()]) {
			best = k
		}
	}
	return best
}
