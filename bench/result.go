package bench

import (
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

// timing measures the time spent in the policy.
type timing struct {
	total      time.Duration
	decisions  []time.Duration // that started at least one item
	placements int
}

func (t *timing) measure(f func()) time.Duration {
	start := time.Now()
	f()
	elapsed := time.Since(start)
	t.total += elapsed
	return elapsed
}

// useMeter adds up, within the workload's window, the part of the fleet that declared
// sizes of running work take, by team, for the flood team's classes, and by dimension.
type usageMeter struct {
	window             [2]time.Duration
	now                time.Duration
	capacity           [3]float64 // CPU, memory, slots
	inUse              [3]float64
	resourceSeconds    [3]float64            // running times time, in seconds
	teamShare          map[string]float64    // dominant fraction running
	teamShareSeconds   map[string]float64    // fraction times time
	classShare         map[api.Class]float64 // of the flood team
	classShareSeconds  map[api.Class]float64
	accelerators       [2]float64 // accelerators: capacity, running
	acceleratorSeconds float64
	actualUsage        map[string]api.Resources // by worker; only if sizes are declared wrongly
	workerCapacity     map[string]api.Resources
	overusedWorkers    map[string]bool // workers whose true use exceeds what they hold
	overusedSeconds    float64         // worker-seconds
}

func newUsageMeter(w *Workload) *usageMeter {
	m := &usageMeter{
		window: w.Window, teamShare: map[string]float64{}, teamShareSeconds: map[string]float64{},
		classShare: map[api.Class]float64{}, classShareSeconds: map[api.Class]float64{},
		actualUsage: map[string]api.Resources{}, workerCapacity: map[string]api.Resources{}, overusedWorkers: map[string]bool{},
	}
	for _, worker := range w.Workers {
		m.capacity[0] += float64(worker.Capacity.MilliCPU)
		m.capacity[1] += float64(worker.Capacity.MemoryMB)
		m.capacity[2] += float64(worker.Slots)
		m.workerCapacity[worker.Name] = worker.Capacity
		m.accelerators[0] += float64(worker.Capacity.Accelerators)
	}
	return m
}

// advance accounts for the time since the last call.
func (m *usageMeter) advance(now time.Duration) {
	seconds := (min(now, m.window[1]) - max(m.now, m.window[0])).Seconds()
	m.now = now
	if seconds <= 0 {
		return
	}
	for i := range m.resourceSeconds {
		m.resourceSeconds[i] += m.inUse[i] * seconds
	}
	m.acceleratorSeconds += m.accelerators[1] * seconds
	m.overusedSeconds += float64(len(m.overusedWorkers)) * seconds
	for t, f := range m.teamShare {
		m.teamShareSeconds[t] += f * seconds
	}
	for c, f := range m.classShare {
		m.classShareSeconds[c] += f * seconds
	}
}

// change adds (sign 1) or removes (sign -1) the tasks of an item.
func (m *usageMeter) adjust(item *placement.Item, sign float64) {
	n := sign * float64(item.Tasks)
	amounts := [3]float64{float64(item.Resources.MilliCPU), float64(item.Resources.MemoryMB), 1}
	dominantShare := 0.0
	for i, a := range amounts {
		m.inUse[i] += n * a
		dominantShare = max(dominantShare, a/m.capacity[i])
	}
	m.accelerators[1] += n * float64(item.Resources.Accelerators)
	m.teamShare[item.Team] += n * dominantShare
	if item.Team == floodTeam {
		m.classShare[item.Class] += n * dominantShare
	}
}

// changeTrue adds or removes the true use of a job's tasks on their workers.
func (m *usageMeter) adjustActual(j *jobState, add bool) {
	if j.arrival.ActualUsage == (api.Resources{}) {
		return
	}
	for _, name := range j.workers {
		usage := m.actualUsage[name].Sub(j.arrival.ActualUsage)
		if add {
			usage = m.actualUsage[name].Add(j.arrival.ActualUsage)
		}
		m.actualUsage[name] = usage
		if usage.Fits(m.workerCapacity[name]) {
			delete(m.overusedWorkers, name)
		} else {
			m.overusedWorkers[name] = true
		}
	}
}

// scarcest returns the average packed part of the fullest dimension in the window.
func (m *usageMeter) scarcestUtilization() float64 {
	seconds := (m.window[1] - m.window[0]).Seconds()
	utilization := 0.0
	for i, p := range m.resourceSeconds {
		utilization = max(utilization, p/seconds/m.capacity[i])
	}
	if m.accelerators[0] > 0 {
		utilization = max(utilization, m.acceleratorSeconds/seconds/m.accelerators[0])
	}
	return utilization
}

// Result is what one run measured.
type Result struct {
	MedianWait, P99Wait time.Duration // of all admitted work except the flood
	UrgentP99           time.Duration // of admitted urgent work except the flood team's
	Utilization         float64       // scarcest dimension in the window
	Overuse             float64       // part of the worker time in which the true use exceeds the worker
	Refused, Expired    int
	RefusedOtherTeams   int // refused or expired without being part of the flood team's work
	Failed              int // gave up after failing on failing workers
	DecisionsPerSecond  float64
	P99Decision         time.Duration
	Placements          int
	Jobs                []JobResult
	usage               *usageMeter
}

// JobResult is the outcome of one arrival.
type JobResult struct {
	Key     api.RequestKey
	Wait    time.Duration
	Started bool
}

// result summarizes the run. Work that never started counts with the time it waited
// until it expired or the run ended.
func (s *simulation) result() *Result {
	r := &Result{usage: s.usage, Utilization: s.usage.scarcestUtilization(), Placements: s.timing.placements}
	r.Overuse = s.usage.overusedSeconds / (s.usage.window[1] - s.usage.window[0]).Seconds() / float64(len(s.workload.Workers))
	var waits, urgent []time.Duration
	for _, j := range s.jobsByArrival {
		item := &j.arrival.Item
		wait := s.workload.End - item.Accepted
		switch j.phase {
		case phaseRefused, phaseExpired:
			if j.phase == phaseRefused {
				r.Refused++
			} else {
				r.Expired++
				wait = item.Deadline - item.Accepted
			}
			if item.Team != floodTeam {
				r.RefusedOtherTeams++
			}
		case phaseFailed:
			r.Failed++
		case phaseRunning, phaseDone:
			wait = j.startedAt - item.Accepted
		}
		r.Jobs = append(r.Jobs, JobResult{item.Key, wait, j.attempts > 0})
		if j.phase == phaseRefused || j.phase == phaseCanceled || j.arrival.Flood {
			continue
		}
		waits = append(waits, wait)
		if item.Class == api.ClassUrgent && item.Team != floodTeam {
			urgent = append(urgent, wait)
		}
	}
	r.MedianWait, r.P99Wait = quantile(waits, 0.5), quantile(waits, 0.99)
	r.UrgentP99 = quantile(urgent, 0.99)
	r.P99Decision = quantile(s.timing.decisions, 0.99)
	r.DecisionsPerSecond = float64(s.timing.placements) / s.timing.total.Seconds()
	return r
}

// quantile sorts the list.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

// Kept is the part of the share owed to other work that it still got in a flood.
type RetainedShare struct {
	OtherTeams   float64 // of the other teams together
	WorstTeam    float64 // of the team that lost most
	OtherClasses float64 // of the other classes of the flood's team
}

// classShares are the parts of a team's share that its classes are owed.
var classShares = map[api.Class]float64{api.ClassUrgent: 0.6, api.ClassNormal: 0.3, api.ClassLow: 0.1}

// KeptIn compares a run with a flood of one class to the run of the same policy without
// it. Work is owed what it used without the flood, at most its share.
func MeasureRetainedShare(withFlood, withoutFlood *Result, class api.Class, teams int) RetainedShare {
	fairShare := (withFlood.usage.window[1] - withFlood.usage.window[0]).Seconds() / float64(teams)
	result := RetainedShare{WorstTeam: 1}
	var retained, entitled float64
	for team, use := range withoutFlood.usage.teamShareSeconds {
		if team == floodTeam {
			continue
		}
		due := min(use, fairShare)
		used := min(withFlood.usage.teamShareSeconds[team], due)
		retained, entitled = retained+used, entitled+due
		if due > 0 {
			result.WorstTeam = min(result.WorstTeam, used/due)
		}
	}
	result.OtherTeams = retained / entitled
	retained, entitled = 0, 0
	for c, part := range classShares {
		if c != class {
			due := min(withoutFlood.usage.classShareSeconds[c], part*fairShare)
			retained, entitled = retained+min(withFlood.usage.classShareSeconds[c], due), entitled+due
		}
	}
	result.OtherClasses = retained / entitled
	return result
}
