package standin

import (
	"fmt"
	"sort"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// ViolationKind identifies the guarantee that was violated.
type ViolationKind string

// The kinds of violation. The numbers in parentheses are those of the violated guarantees in
// the design page.
const (
	ViolationOverlap       ViolationKind = "overlap"        // two runs of one task overlapped in time (G2)
	ViolationRepeatedStart ViolationKind = "repeated_start" // a task of a non-idempotent request started more than once (G5)
	ViolationCapacity      ViolationKind = "capacity"       // resources in use exceeded the declared capacity (G1)
	ViolationSlots         ViolationKind = "slots"          // more tasks ran than there are slots (G1)
	ViolationConnections   ViolationKind = "connections"    // more connections were open than declared (G1)
)

// Violation is a violated guarantee found in the journals.
type Violation struct {
	Kind   ViolationKind
	Key    api.RequestKey // zero if the violation concerns no request
	Detail string
}

func (v Violation) String() string { return fmt.Sprintf("%s %s: %s", v.Kind, v.Key, v.Detail) }

// taskRun is one execution of a task attempt. It ends when the task ended or was
// stopped, or when the lease ended if that came before a stop was journaled. If the
// process died, the end is the time of its last journal line, which is a lower bound.
type taskRun struct {
	task        api.TaskID
	worker      string
	incarnation string
	start, end  time.Time
}

func (r taskRun) String() string {
	const clock = "15:04:05.000"
	return fmt.Sprintf("attempt %d of task %d on %s#%s from %s to %s", r.task.Attempt, r.task.Index, r.worker, r.incarnation,
		r.start.Format(clock), r.end.Format(clock))
}

// CheckJournals reads the journals at paths and returns the violations that they show,
// in a stable order. All workers must have run on one machine, because their wall-clock
// times are compared. nonIdempotent holds the requests whose tasks may start only once.
// Tasks of a gang with different indices may run at the same time.
func CheckJournals(nonIdempotent map[api.RequestKey]bool, paths ...string) ([]Violation, error) {
	var violations []Violation
	byTask := map[api.TaskID][]taskRun{} // keyed without the attempt
	for _, path := range paths {
		events, err := ReadJournal(path)
		if err != nil {
			return nil, err
		}
		violations = append(violations, checkLimits(events)...)
		for _, r := range taskRuns(events) {
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

// checkLimits compares the resources, slots and connections in use with the limits that
// the worker declared at boot.
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

// taskRuns returns the runs in one journal by pairing each start with its end.
func taskRuns(events []Event) []taskRun {
	var finished []taskRun
	running := map[api.TaskID]taskRun{}
	var last time.Time // time of the previous event
	endRunning := func() {
		for _, r := range running {
			r.end = last
			finished = append(finished, r)
		}
		running = map[api.TaskID]taskRun{}
	}
	for _, e := range events {
		switch e.Kind {
		case EventBoot:
			endRunning()
		case EventStart:
			if r, ok := running[e.Task()]; ok { // the same attempt started twice
				r.end = e.time().Add(1)
				finished = append(finished, r)
			}
			running[e.Task()] = taskRun{task: e.Task(), worker: e.Worker, incarnation: e.Incarnation, start: e.time()}
		case EventEnd, EventStop:
			if r, ok := running[e.Task()]; ok {
				r.end = e.time()
				if e.LeaseEndNanos > 0 && e.LeaseEndNanos < e.UnixNanos {
					r.end = time.Unix(0, e.LeaseEndNanos)
				}
				finished = append(finished, r)
				delete(running, e.Task())
			}
		}
		last = e.time()
	}
	endRunning()
	return finished
}

// checkTask returns the violations in the runs of one task over all its attempts.
func checkTask(key api.RequestKey, runs []taskRun, nonIdempotent bool) []Violation {
	sort.Slice(runs, func(i, j int) bool { return runs[i].start.Before(runs[j].start) })
	var out []Violation
	if nonIdempotent && len(runs) > 1 {
		out = append(out, Violation{ViolationRepeatedStart, key, fmt.Sprint(runs)})
	}
	for i := 1; i < len(runs); i++ {
		if latest := latestEnd(runs[:i]); runs[i].start.Before(latest.end) {
			out = append(out, Violation{ViolationOverlap, key, fmt.Sprintf("%v and %v", latest, runs[i])})
		}
	}
	return out
}

// latestEnd returns the run that ended last.
func latestEnd(runs []taskRun) taskRun {
	latest := runs[0]
	for _, r := range runs {
		if r.end.After(latest.end) {
			latest = r
		}
	}
	return latest
}
