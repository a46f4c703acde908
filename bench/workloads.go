package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

const (
	firmSize = 50
	firmEnd  = 5 * time.Minute
)

// Workloads returns the workloads of the measurement.
func Workloads(seed uint64) []Workload {
	return []Workload{
		day(seed, "firm day 32/64, 80% load", 32), day(seed+1, "firm day 64/128, 80% load", 64),
		dayWithPeaks(seed, "firm day 32/64 with peaks, 80% on average", 32),
		dayWithPeaks(seed+1, "firm day 64/128 with peaks, 80% on average", 64),
		flood(seed, "10x flood, low", api.ClassLow), flood(seed, "10x flood, urgent", api.ClassUrgent),
		wrongSizes(seed, "sizes wrong up to 10x", nil),
		wrongSizes(seed, "sizes of a kind wrong by one factor up to 10x", map[string]float64{}),
		cancelWaves(seed), failingWorkers(seed), gangMix(seed), saturation(seed),
		LargeFleet(seed, 10*time.Second), largeSaturated(seed, 10*time.Second),
	}
}

func firm(name string, cores int64) Workload {
	return Workload{
		Name: name, Workers: firmWorkers(firmSize, cores), End: firmEnd,
		Window: [2]time.Duration{firmEnd / 3, firmEnd}, Teams: 10,
	}
}

func day(seed uint64, name string, cores int64) Workload {
	w := firm(name, cores)
	w.Arrivals = newGenerator(seed, cores).fill(firmSize, 0.8, 0, w.End, nil)
	setDeadlines(w.Arrivals)
	return w
}

// dayWithPeaks is day with a load that rises to 120% and falls to 40% within the run.
func dayWithPeaks(seed uint64, name string, cores int64) Workload {
	w := firm(name, cores)
	w.Window[0] = 0
	g := newGenerator(seed+50, cores)
	const steps = 20
	for i := range steps {
		load := 0.8 + 0.4*math.Sin(2*math.Pi*(float64(i)+0.5)/steps)
		w.Arrivals = append(w.Arrivals, g.fill(firmSize, load, w.End*time.Duration(i)/steps, w.End*time.Duration(i+1)/steps, nil)...)
	}
	setDeadlines(w.Arrivals)
	return w
}

// flood adds for two minutes ten times the ordinary load, of one class of one team.
func flood(seed uint64, name string, class api.Class) Workload {
	w := firm(name, 32)
	w.Window = [2]time.Duration{time.Minute, 3 * time.Minute}
	base := newGenerator(seed, 32)
	for _, part := range [][2]time.Duration{{0, w.Window[0]}, w.Window, {w.Window[1], w.End}} {
		w.Arrivals = append(w.Arrivals, base.fill(firmSize, 0.8, part[0], part[1], nil)...)
	}
	setDeadlines(w.Arrivals)
	g := newGenerator(seed+100, 32)
	g.next = 1_000_000
	more := g.fill(firmSize, 8, time.Minute, 3*time.Minute, func(a *Arrival) {
		a.Flood = true
		a.Item.Class, a.Item.Team, a.Item.Workload, a.Item.Tasks = class, floodTeam, api.WorkloadBatch, 1
		a.Item.Kind = "flood"
		a.Item.Resources = api.Resources{MilliCPU: 4000, MemoryMB: 8192}
	})
	setDeadlines(more)
	w.Arrivals = byTime(append(w.Arrivals, more...))
	return w
}

func wrongSizes(seed uint64, name string, byKind map[string]float64) Workload {
	w := firm(name, 32)
	g := newGenerator(seed+2, 32)
	g.wrong, g.byKind = true, byKind
	// The use is more than declared on average, so half the load fills the workers.
	w.Arrivals = g.fill(firmSize, 0.5, 0, w.End, nil)
	setDeadlines(w.Arrivals)
	return w
}

// cancelWaves overloads the pool and cancels half of the last minute's arrivals at the
// end of each minute.
func cancelWaves(seed uint64) Workload {
	w := firm("cancel waves, 130% load", 32)
	r := rand.New(rand.NewPCG(seed, 3))
	w.Arrivals = newGenerator(seed+3, 32).fill(firmSize, 1.3, 0, w.End, nil)
	setDeadlines(w.Arrivals)
	for i := range w.Arrivals {
		if r.IntN(2) == 0 {
			w.Arrivals[i].CancelAt = w.Arrivals[i].Item.Accepted.Truncate(time.Minute) + time.Minute
		}
	}
	return w
}

func failingWorkers(seed uint64) Workload {
	w := firm("10% of workers fail everything", 32)
	w.Arrivals = newGenerator(seed+4, 32).fill(firmSize, 0.7, 0, w.End, nil)
	setDeadlines(w.Arrivals)
	w.FailingWorkers = map[string]bool{}
	for i := 3; i < firmSize; i += 10 {
		w.FailingWorkers[w.Workers[i].Name] = true
	}
	return w
}

func gangMix(seed uint64) Workload {
	w := firm("gangs among batch, 80% load", 32)
	g := newGenerator(seed+5, 32)
	g.gangs = 0.15
	w.Arrivals = g.fill(firmSize, 0.8, 0, w.End, nil)
	setDeadlines(w.Arrivals)
	return w
}

func saturation(seed uint64) Workload {
	w := firm("saturation, 150% load", 32)
	w.Arrivals = newGenerator(seed+6, 32).fill(firmSize, 1.5, 0, w.End, nil)
	return w
}

// Large is the two-year size: 6,600 workers with 16,000 accelerators, 47,000 tasks
// running of 100 teams, and 4,200 starts a second for the given time.
func LargeFleet(seed uint64, length time.Duration) Workload {
	return ScaledFleet(seed, 6600, 1, length)
}

// largeSaturated is Large with 150% of the starts, so that every worker is full and all
// teams have queues.
func largeSaturated(seed uint64, length time.Duration) Workload {
	return ScaledFleet(seed, 6600, 1.5, length)
}

// Fleet is Large in proportion to the number of workers, with the starts multiplied.
func ScaledFleet(seed uint64, workers int, multiple float64, length time.Duration) Workload {
	w := Workload{
		Name: fmt.Sprintf("%d workers, 100 teams, %.0f%% of peak starts", workers, 100*multiple), End: length, Teams: 100,
		Window: [2]time.Duration{length / 2, length},
	}
	for i := range workers {
		x := placement.Worker{
			Name: fmt.Sprintf("w%05d", i), Pool: poolName, Region: region, Rack: fmt.Sprint("k", i/8),
			FailureDomain: fmt.Sprint("d", i/8%6), Slots: 8, Connections: 64,
			Capacity: api.Resources{MilliCPU: 64000, MemoryMB: 128 * 1024},
		}
		if i%33 < 20 {
			x.Capacity.Accelerators = 4
		}
		w.Workers = append(w.Workers, x)
	}
	r := rand.New(rand.NewPCG(seed, 4))
	running := 47_000 * workers / 6600
	services := running / 5
	// 4,200 starts a second keep the batch tasks at their number when each lasts as
	// long as it takes to start that many.
	starts := 4200 * float64(workers) / 6600
	mean := float64(running-services) / starts
	starts *= multiple
	next := 0
	add := func(at, run time.Duration, load api.Workload) {
		next++
		a := largeArrival(r, next, at, load)
		a.RunTime, a.Item.RunTime = run, run
		w.Arrivals = append(w.Arrivals, a)
	}
	for i := range running {
		if i < services {
			add(0, 24*time.Hour, api.WorkloadService)
		} else {
			add(0, time.Duration(r.ExpFloat64()*mean*float64(time.Second)), api.WorkloadBatch)
		}
	}
	for at := 0.0; at < length.Seconds(); at += r.ExpFloat64() / starts {
		run := time.Duration(r.ExpFloat64() * mean * float64(time.Second))
		add(time.Duration(at*1000)*time.Millisecond, run, api.WorkloadBatch)
	}
	return w
}

func largeArrival(r *rand.Rand, n int, at time.Duration, load api.Workload) Arrival {
	cores := pick(r, []float64{0.4, 0.4, 0.2}, []int64{4, 6, 12})
	item := placement.Item{
		Key: api.RequestKey{Caller: "c", Key: fmt.Sprint(n)}, Pool: poolName, Region: region,
		Team: fmt.Sprintf("t%02d", r.IntN(100)), Kind: fmt.Sprint("kind", cores), Workload: load, Tasks: 1, Accepted: at,
		Class:     pick(r, []float64{0.1, 0.6, 0.3}, []api.Class{api.ClassUrgent, api.ClassNormal, api.ClassLow}),
		Resources: api.Resources{MilliCPU: cores * 1000, MemoryMB: cores * (1024 + r.Int64N(1024))},
	}
	if r.Float64() < 0.3 {
		item.Resources.Accelerators = 1
		item.Kind += "-acc"
	}
	return Arrival{Item: item}
}
