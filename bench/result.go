package bench

import (
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

// timing measures the real time that a policy takes.
type timing struct {
	total      time.Duration   // of all measured calls
	decisions  []time.Duration // of each decision that started at least one item
	placements int
}

// measure runs f and returns the time that it took.
func (t *timing) measure(f func()) time.Duration {
	start := time.Now()
	f()
	elapsed := time.Since(start)
	t.total += elapsed
	return elapsed
}

// usageMeter integrates over the workload's window what running work uses by its declared
// size: for each resource, for each team and for each class of the flood team. It also
// counts the time in which the actual usage exceeds the capacity of workers.
type usageMeter struct {
	window             [2]time.Duration
	now                time.Duration
	capacity           [3]float64            // of the fleet: CPU, memory, slots
	inUse              [3]float64            // in the order of capacity
	resourceSeconds    [3]float64            // inUse integrated over time in seconds
	teamShare          map[string]float64    // dominant share of running work
	teamShareSeconds   map[string]float64    // teamShare integrated over time in seconds
	classShare         map[api.Class]float64 // dominant share of the flood team's running work
	classShareSeconds  map[api.Class]float64
	accelerators       [2]float64 // capacity of the fleet, in use
	acceleratorSeconds float64
	actualUsage        map[string]api.Resources // by worker; only of work with misdeclared sizes
	workerCapacity     map[string]api.Resources
	overusedWorkers    map[string]bool // workers whose actual usage exceeds their capacity
	overusedSeconds    float64         // in worker-seconds
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

// advance adds the usage since the last call to the integrals.
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

// adjust adds (sign 1) or removes (sign -1) the declared size of an item's tasks.
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

// adjustActual adds or removes the actual usage of a job's tasks on their workers.
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

// scarcestUtilization returns the average utilization in the window of the resource that is
// utilized most, as a fraction.
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

// Result holds the measurements of one run.
type Result struct {
	MedianWait, P99Wait time.Duration // of all admitted work except the flood
	UrgentP99           time.Duration // p99 wait of admitted urgent work except the flood team's
	Utilization         float64       // of the scarcest resource in the window, as a fraction; column "packed"
	Overuse             float64       // fraction of worker time with an actual usage above the capacity; column "overused"
	Refused, Expired    int
	RefusedOtherTeams   int           // refused or expired requests of teams other than floodTeam; column "of others"
	Failed              int           // given up after maxAttempts on failing workers
	DecisionsPerSecond  float64       // started items per second of real time spent in the policy
	P99Decision         time.Duration // real time of a decision that started at least one item
	Placements          int
	Jobs                []JobResult
	usage               *usageMeter
}

// JobResult is the outcome of one arrival.
type JobResult struct {
	Key     api.RequestKey
	Wait    time.Duration // from arrival to the latest start; see simulation.result
	Started bool          // at least once
}

// result summarizes the run. Work that never started counts with the time that it waited
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

// quantile returns the q-quantile, or 0 for an empty list. It sorts the list.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

// RetainedShare is the fraction of its entitlement that other work still got in a flood. The
// columns of the table are "kept", "worst team" and "own classes".
type RetainedShare struct {
	OtherTeams   float64 // of the other teams together
	WorstTeam    float64 // of the team that lost the largest fraction
	OtherClasses float64 // of the other classes of the flood team
}

// classShares are the fractions of a team's fair share to which its classes are entitled.
var classShares = map[api.Class]float64{api.ClassUrgent: 0.6, api.ClassNormal: 0.3, api.ClassLow: 0.1}

// MeasureRetainedShare compares a run with a flood of one class to the run of the same policy
// without the flood. Work is entitled to what it used without the flood, up to its fair
// share.
func MeasureRetainedShare(withFlood, withoutFlood *Result, class api.Class, teams int) RetainedShare {
	fairShare := (withFlood.usage.window[1] - withFlood.usage.window[0]).Seconds() / float64(teams)
	result := RetainedShare{WorstTeam: 1}
	var retained, entitled float64
	for team, usedWithoutFlood := range withoutFlood.usage.teamShareSeconds {
		if team == floodTeam {
			continue
		}
		entitlement := min(usedWithoutFlood, fairShare)
		used := min(withFlood.usage.teamShareSeconds[team], entitlement)
		retained, entitled = retained+used, entitled+entitlement
		if entitlement > 0 {
			result.WorstTeam = min(result.WorstTeam, used/entitlement)
		}
	}
	result.OtherTeams = retained / entitled
	retained, entitled = 0, 0
	for c, fraction := range classShares {
		if c != class {
			entitlement := min(withoutFlood.usage.classShareSeconds[c], fraction*fairShare)
			retained, entitled = retained+min(withFlood.usage.classShareSeconds[c], entitlement), entitled+entitlement
		}
	}
	result.OtherClasses = retained / entitled
	return result
}
