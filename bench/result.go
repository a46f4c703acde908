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
	spent := time.Since(start)
	t.total += spent
	return spent
}

// useMeter adds up, within the workload's window, the part of the fleet that declared
// sizes of running work take, by team, for the flood team's classes, and by dimension.
type useMeter struct {
	window    [2]time.Duration
	now       time.Duration
	capacity  [3]float64 // CPU, memory, slots
	running   [3]float64
	packed    [3]float64            // running times time, in seconds
	team      map[string]float64    // dominant fraction running
	teamUse   map[string]float64    // fraction times time
	class     map[api.Class]float64 // of the flood team
	classUse  map[api.Class]float64
	acc       [2]float64 // accelerators: capacity, running
	accPacked float64
	trueUse   map[string]api.Resources // by worker; only if sizes are declared wrongly
	limits    map[string]api.Resources
	over      map[string]bool // workers whose true use exceeds what they hold
	overTime  float64         // worker-seconds
}

func newUseMeter(w *Workload) *useMeter {
	m := &useMeter{
		window: w.Window, team: map[string]float64{}, teamUse: map[string]float64{},
		class: map[api.Class]float64{}, classUse: map[api.Class]float64{},
		trueUse: map[string]api.Resources{}, limits: map[string]api.Resources{}, over: map[string]bool{},
	}
	for _, x := range w.Workers {
		m.capacity[0] += float64(x.Capacity.MilliCPU)
		m.capacity[1] += float64(x.Capacity.MemoryMB)
		m.capacity[2] += float64(x.Slots)
		m.limits[x.Name] = x.Capacity
		m.acc[0] += float64(x.Capacity.Accelerators)
	}
	return m
}

// advance accounts for the time since the last call.
func (m *useMeter) advance(now time.Duration) {
	seconds := (min(now, m.window[1]) - max(m.now, m.window[0])).Seconds()
	m.now = now
	if seconds <= 0 {
		return
	}
	for i := range m.packed {
		m.packed[i] += m.running[i] * seconds
	}
	m.accPacked += m.acc[1] * seconds
	m.overTime += float64(len(m.over)) * seconds
	for t, f := range m.team {
		m.teamUse[t] += f * seconds
	}
	for c, f := range m.class {
		m.classUse[c] += f * seconds
	}
}

// change adds (sign 1) or removes (sign -1) the tasks of an item.
func (m *useMeter) change(item *placement.Item, sign float64) {
	n := sign * float64(item.Tasks)
	amounts := [3]float64{float64(item.Resources.MilliCPU), float64(item.Resources.MemoryMB), 1}
	fraction := 0.0
	for i, a := range amounts {
		m.running[i] += n * a
		fraction = max(fraction, a/m.capacity[i])
	}
	m.acc[1] += n * float64(item.Resources.Accelerators)
	m.team[item.Team] += n * fraction
	if item.Team == floodTeam {
		m.class[item.Class] += n * fraction
	}
}

// changeTrue adds or removes the true use of a job's tasks on their workers.
func (m *useMeter) changeTrue(j *jobState, add bool) {
	if j.arrival.ActualUsage == (api.Resources{}) {
		return
	}
	for _, name := range j.workers {
		use := m.trueUse[name].Sub(j.arrival.ActualUsage)
		if add {
			use = m.trueUse[name].Add(j.arrival.ActualUsage)
		}
		m.trueUse[name] = use
		if use.Fits(m.limits[name]) {
			delete(m.over, name)
		} else {
			m.over[name] = true
		}
	}
}

// scarcest returns the average packed part of the fullest dimension in the window.
func (m *useMeter) scarcest() float64 {
	seconds := (m.window[1] - m.window[0]).Seconds()
	packed := 0.0
	for i, p := range m.packed {
		packed = max(packed, p/seconds/m.capacity[i])
	}
	if m.acc[0] > 0 {
		packed = max(packed, m.accPacked/seconds/m.acc[0])
	}
	return packed
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
	use                 *useMeter
}

// JobResult is the outcome of one arrival.
type JobResult struct {
	Key     api.RequestKey
	Wait    time.Duration
	Started bool
}

// result summarizes the run. Work that never started counts with the time it waited
// until it expired or the run ended.
func (d *driver) result() *Result {
	r := &Result{use: d.use, Utilization: d.use.scarcest(), Placements: d.timing.placements}
	r.Overuse = d.use.overTime / (d.use.window[1] - d.use.window[0]).Seconds() / float64(len(d.workload.Workers))
	var waits, urgent []time.Duration
	for _, j := range d.order {
		item := &j.arrival.Item
		wait := d.workload.End - item.Accepted
		switch j.state {
		case phaseRefused, phaseExpired:
			if j.state == phaseRefused {
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
			wait = j.started - item.Accepted
		}
		r.Jobs = append(r.Jobs, JobResult{item.Key, wait, j.attempts > 0})
		if j.state == phaseRefused || j.state == phaseCanceled || j.arrival.Flood {
			continue
		}
		waits = append(waits, wait)
		if item.Class == api.ClassUrgent && item.Team != floodTeam {
			urgent = append(urgent, wait)
		}
	}
	r.MedianWait, r.P99Wait = quantile(waits, 0.5), quantile(waits, 0.99)
	r.UrgentP99 = quantile(urgent, 0.99)
	r.P99Decision = quantile(d.timing.decisions, 0.99)
	r.DecisionsPerSecond = float64(d.timing.placements) / d.timing.total.Seconds()
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
func MeasureRetainedShare(flood, calm *Result, class api.Class, teams int) RetainedShare {
	share := (flood.use.window[1] - flood.use.window[0]).Seconds() / float64(teams)
	k := RetainedShare{WorstTeam: 1}
	var got, owed float64
	for team, use := range calm.use.teamUse {
		if team == floodTeam {
			continue
		}
		due := min(use, share)
		have := min(flood.use.teamUse[team], due)
		got, owed = got+have, owed+due
		if due > 0 {
			k.WorstTeam = min(k.WorstTeam, have/due)
		}
	}
	k.OtherTeams = got / owed
	got, owed = 0, 0
	for c, part := range classShares {
		if c != class {
			due := min(calm.use.classUse[c], part*share)
			got, owed = got+min(flood.use.classUse[c], due), owed+due
		}
	}
	k.OtherClasses = got / owed
	return k
}
