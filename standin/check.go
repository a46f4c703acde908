package standin

import (
	"fmt"
	"sort"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// ViolationKind names a broken guarantee.
type ViolationKind string

// The kinds of violation.
const (
	ViolationOverlap       ViolationKind = "overlap"        // one task of a key ran in two places at once (G2)
	ViolationRepeatedStart ViolationKind = "repeated_start" // one task of a non-idempotent key started twice (G5)
	ViolationCapacity      ViolationKind = "capacity"       // resources above the declared capacity (G1)
	ViolationSlots         ViolationKind = "slots"          // more tasks than slots (G1)
	ViolationConnections   ViolationKind = "connections"    // more connections than declared (G1)
)

// Violation is a broken guarantee that journals show.
type Violation struct {
	Kind   ViolationKind
	Key    api.RequestKey // zero if it concerns no key
	Detail string
}

func (v Violation) String() string { return fmt.Sprintf("%s %s: %s", v.Kind, v.Key, v.Detail) }

// run is one stretch in which a task ran. Its end is the time of its end or stop, the
// end of the lease if it was stopped for that, or, for a process that died, the last
// line that it wrote: a lower bound.
type run struct {
	task       api.TaskID
	worker     string
	incarn     string
	start, end time.Time
}

func (r run) String() string {
	const clock = "15:04:05.000"
	return fmt.Sprintf("attempt %d of task %d on %s#%s from %s to %s", r.task.Attempt, r.task.Index, r.worker, r.incarn,
		r.start.Format(clock), r.end.Format(clock))
}

// CheckJournals reads journals of any number of workers on one machine and returns the
// violations they show. NonIdempotent holds the keys of which each task may start once
// only. Tasks of a gang with different indices may run at the same time.
func CheckJournals(nonIdempotent map[api.RequestKey]bool, paths ...string) ([]Violation, error) {
	var violations []Violation
	byTask := map[api.TaskID][]run{} // without the attempt
	for _, path := range paths {
		events, err := ReadJournal(path)
		if err != nil {
			return nil, err
		}
		violations = append(violations, checkLimits(events)...)
		for _, r := range runsOf(events) {
			id := api.TaskID{RequestKey: r.task.RequestKey, Index: r.task.Index}
			byTask[id] = append(byTask[id], r)
		}
	}
	for id, runs := range byTask {
		violations = append(violations, checkTask(id.RequestKey, runs, nonIdempotent[id.RequestKey])...)
	}
	sort.SliceStable(violations, func(i, j int) bool { return violations[i].String() < violations[j].String() })
	return violations, nil
}

// checkLimits compares what was in use after each start with what the worker declared.
func checkLimits(events []Event) []Violation {
	var out []Violation
	var boot Event
	for _, e := range events {
		key := e.Task().RequestKey
		switch {
		case e.Kind == EventBoot:
			boot = e
		case e.Kind == EventConnections:
			out = append(out, Violation{ViolationConnections, key, fmt.Sprintf("%s has %d of %d connections", e.Worker, e.Connections, boot.Connections)})
		case e.Kind != EventStart:
		case boot.Capacity != nil && !e.InUse.Fits(*boot.Capacity):
			out = append(out, Violation{ViolationCapacity, key, fmt.Sprintf("%s uses %+v of %+v", e.Worker, e.InUse, *boot.Capacity)})
		case e.Running > boot.Slots:
			out = append(out, Violation{ViolationSlots, key, fmt.Sprintf("%s runs %d tasks in %d slots", e.Worker, e.Running, boot.Slots)})
		}
	}
	return out
}

// runsOf pairs the starts of one journal with their ends.
func runsOf(events []Event) []run {
	var done []run
	open := map[api.TaskID]run{}
	var last time.Time // of the present incarnation
	closeAll := func() {
		for _, r := range open {
			r.end = last
			done = append(done, r)
		}
		open = map[api.TaskID]run{}
	}
	for _, e := range events {
		switch e.Kind {
		case EventBoot:
			closeAll()
		case EventStart:
			if r, ok := open[e.Task()]; ok { // the same attempt twice
				r.end = e.time().Add(1)
				done = append(done, r)
			}
			open[e.Task()] = run{task: e.Task(), worker: e.Worker, incarn: e.Incarnation, start: e.time()}
		case EventEnd, EventStop:
			if r, ok := open[e.Task()]; ok {
				r.end = e.time()
				if e.LeaseEndNanos > 0 && e.LeaseEndNanos < e.UnixNanos {
					r.end = time.Unix(0, e.LeaseEndNanos)
				}
				done = append(done, r)
				delete(open, e.Task())
			}
		}
		last = e.time()
	}
	closeAll()
	return done
}

// checkTask judges the runs of one task over all attempts.
func checkTask(key api.RequestKey, runs []run, once bool) []Violation {
	sort.Slice(runs, func(i, j int) bool { return runs[i].start.Before(runs[j].start) })
	var out []Violation
	if once && len(runs) > 1 {
		out = append(out, Violation{ViolationRepeatedStart, key, fmt.Sprint(runs)})
	}
	for i := 1; i < len(runs); i++ {
		if latest := latestEnd(runs[:i]); runs[i].start.Before(latest.end) {
			out = append(out, Violation{ViolationOverlap, key, fmt.Sprintf("%v and %v", latest, runs[i])})
		}
	}
	return out
}

func latestEnd(runs []run) run {
	latest := runs[0]
	for _, r := range runs {
		if r.end.After(latest.end) {
			latest = r
		}
	}
	return latest
}
