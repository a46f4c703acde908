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
	// smallFleetSize is the number of workers of the small workloads.
	smallFleetSize = 50
	// smallFleetDuration is the simulated time of the small workloads.
	smallFleetDuration = 5 * time.Minute
)

// Workloads returns the workloads under which the policies are compared.
func Workloads(seed uint64) []Workload {
	return []Workload{
		mixedLoad(seed, "firm day 32/64, 80% load", 32), mixedLoad(seed+1, "firm day 64/128, 80% load", 64),
		mixedLoadWithPeaks(seed, "firm day 32/64 with peaks, 80% on average", 32),
		mixedLoadWithPeaks(seed+1, "firm day 64/128 with peaks, 80% on average", 64),
		flood(seed, "10x flood, low", api.ClassLow), flood(seed, "10x flood, urgent", api.ClassUrgent),
		misdeclaredSizes(seed, "sizes wrong up to 10x", nil),
		misdeclaredSizes(seed, "sizes of a kind wrong by one factor up to 10x", map[string]float64{}),
		cancelWaves(seed), failingWorkers(seed), gangMix(seed), saturation(seed),
		LargeFleet(seed, 10*time.Second), largeFleetSaturated(seed, 10*time.Second),
	}
}

// newSmallFleet returns a workload without arrivals for smallFleetSize equal workers with the
// given number of cores. Shares and utilization are measured after the first third.
func newSmallFleet(name string, cores int64) Workload {
	return Workload{
		Name: name, Workers: uniformWorkers(smallFleetSize, cores), End: smallFleetDuration,
		Window: [2]time.Duration{smallFleetDuration / 3, smallFleetDuration}, Teams: 10,
	}
}

// mixedLoad is a mix of sizes, classes and teams at a constant load of 80%.
func mixedLoad(seed uint64, name string, cores int64) Workload {
	w := newSmallFleet(name, cores)
	w.Arrivals = newGenerator(seed, cores).generate(smallFleetSize, 0.8, 0, w.End, nil)
	setDeadlines(w.Arrivals)
	return w
}

// mixedLoadWithPeaks is mixedLoad with a load that rises to 120% and falls to 40% within the
// run.
func mixedLoadWithPeaks(seed uint64, name string, cores int64) Workload {
	w := newSmallFleet(name, cores)
	w.Window[0] = 0
	g := newGenerator(seed+50, cores)
	const steps = 20
	for i := range steps {
		load := 0.8 + 0.4*math.Sin(2*math.Pi*(float64(i)+0.5)/steps)
		w.Arrivals = append(w.Arrivals, g.generate(smallFleetSize, load, w.End*time.Duration(i)/steps, w.End*time.Duration(i+1)/steps, nil)...)
	}
	setDeadlines(w.Arrivals)
	return w
}

// flood adds to a load of 80% a flood of 800%, ten times that load, which comes from one
// team in one class and lasts two minutes.
func flood(seed uint64, name string, class api.Class) Workload {
	w := newSmallFleet(name, 32)
	w.Window = [2]time.Duration{time.Minute, 3 * time.Minute}
	base := newGenerator(seed, 32)
	for _, interval := range [][2]time.Duration{{0, w.Window[0]}, w.Window, {w.Window[1], w.End}} {
		w.Arrivals = append(w.Arrivals, base.generate(smallFleetSize, 0.8, interval[0], interval[1], nil)...)
	}
	setDeadlines(w.Arrivals)
	g := newGenerator(seed+100, 32)
	g.lastKey = 1_000_000
	floodArrivals := g.generate(smallFleetSize, 8, time.Minute, 3*time.Minute, func(a *Arrival) {
		a.Flood = true
		a.Item.Class, a.Item.Team, a.Item.Workload, a.Item.Tasks = class, floodTeam, api.WorkloadBatch, 1
		a.Item.Kind = "flood"
		a.Item.Resources = api.Resources{MilliCPU: 4000, MemoryMB: 8192}
	})
	setDeadlines(floodArrivals)
	w.Arrivals = sortByTime(append(w.Arrivals, floodArrivals...))
	return w
}

// misdeclaredSizes declares run times and sizes that are wrong by a factor of up to 10. If
// factorByKind is not nil, the sizes of all requests of a kind are wrong by the same factor.
func misdeclaredSizes(seed uint64, name string, factorByKind map[string]float64) Workload {
	w := newSmallFleet(name, 32)
	g := newGenerator(seed+2, 32)
	g.misdeclare, g.factorByKind = true, factorByKind
	// The actual usage is on average higher than declared, so a load of 50% fills the workers.
	w.Arrivals = g.generate(smallFleetSize, 0.5, 0, w.End, nil)
	setDeadlines(w.Arrivals)
	return w
}

// cancelWaves overloads the pool. At the end of each minute it cancels half of the requests
// that arrived in that minute.
func cancelWaves(seed uint64) Workload {
	w := newSmallFleet("cancel waves, 130% load", 32)
	r := rand.New(rand.NewPCG(seed, 3))
	w.Arrivals = newGenerator(seed+3, 32).generate(smallFleetSize, 1.3, 0, w.End, nil)
	setDeadlines(w.Arrivals)
	for i := range w.Arrivals {
		if r.IntN(2) == 0 {
			w.Arrivals[i].CancelAt = w.Arrivals[i].Item.Accepted.Truncate(time.Minute) + time.Minute
		}
	}
	return w
}

// failingWorkers makes every tenth worker fail all its tasks.
func failingWorkers(seed uint64) Workload {
	w := newSmallFleet("10% of workers fail everything", 32)
	w.Arrivals = newGenerator(seed+4, 32).generate(smallFleetSize, 0.7, 0, w.End, nil)
	setDeadlines(w.Arrivals)
	w.FailingWorkers = map[string]bool{}
	for i := 3; i < smallFleetSize; i += 10 {
		w.FailingWorkers[w.Workers[i].Name] = true
	}
	return w
}

// gangMix raises the fraction of gangs to 15%.
func gangMix(seed uint64) Workload {
	w := newSmallFleet("gangs among batch, 80% load", 32)
	g := newGenerator(seed+5, 32)
	g.gangFraction = 0.15
	w.Arrivals = g.generate(smallFleetSize, 0.8, 0, w.End, nil)
	setDeadlines(w.Arrivals)
	return w
}

// saturation is a load of 150% without deadlines.
func saturation(seed uint64) Workload {
	w := newSmallFleet("saturation, 150% load", 32)
	w.Arrivals = newGenerator(seed+6, 32).generate(smallFleetSize, 1.5, 0, w.End, nil)
	return w
}

// LargeFleet is a workload of the size expected in two years: 6,600 workers with 16,000 accelerators,
// 47,000 running tasks of 100 teams, and 4,200 starts per second for the given duration.
func LargeFleet(seed uint64, duration time.Duration) Workload {
	return ScaledFleet(seed, 6600, 1, duration)
}

// largeFleetSaturated is LargeFleet with 150% of the starts, so that every worker is full and
// all teams have queues.
func largeFleetSaturated(seed uint64, duration time.Duration) Workload {
	return ScaledFleet(seed, 6600, 1.5, duration)
}

// ScaledFleet is LargeFleet scaled to the number of workers, with the rate of starts
// multiplied by startsFactor.
func ScaledFleet(seed uint64, workers int, startsFactor float64, duration time.Duration) Workload {
	w := Workload{
		Name: fmt.Sprintf("%d workers, 100 teams, %.0f%% of peak starts", workers, 100*startsFactor), End: duration, Teams: 100,
		Window: [2]time.Duration{duration / 2, duration},
	}
	for i := range workers {
		worker := placement.Worker{
			Name: fmt.Sprintf("w%05d", i), Pool: poolName, Region: region, Rack: fmt.Sprint("k", i/8),
			FailureDomain: fmt.Sprint("d", i/8%6), Slots: 8, Connections: 64,
			Capacity: api.Resources{MilliCPU: 64000, MemoryMB: 128 * 1024},
		}
		if i%33 < 20 {
			worker.Capacity.Accelerators = 4
		}
		w.Workers = append(w.Workers, worker)
	}
	r := rand.New(rand.NewPCG(seed, 4))
	runningTasks := 47_000 * workers / 6600
	serviceTasks := runningTasks / 5
	// At 4,200 starts per second the number of running batch tasks is constant if the mean
	// run time is that number divided by the rate of starts.
	startsPerSecond := 4200 * float64(workers) / 6600
	meanRunSeconds := float64(runningTasks-serviceTasks) / startsPerSecond
	startsPerSecond *= startsFactor
	lastKey := 0
	add := func(at, run time.Duration, workload api.Workload) {
		lastKey++
		a := drawLargeFleetArrival(r, lastKey, at, workload)
		a.RunTime, a.Item.RunTime = run, run
		w.Arrivals = append(w.Arrivals, a)
	}
	for i := range runningTasks {
		if i < serviceTasks {
			add(0, 24*time.Hour, api.WorkloadService)
		} else {
			add(0, time.Duration(r.ExpFloat64()*meanRunSeconds*float64(time.Second)), api.WorkloadBatch)
		}
	}
	for at := 0.0; at < duration.Seconds(); at += r.ExpFloat64() / startsPerSecond {
		run := time.Duration(r.ExpFloat64() * meanRunSeconds * float64(time.Second))
		add(time.Duration(at*1000)*time.Millisecond, run, api.WorkloadBatch)
	}
	return w
}

// drawLargeFleetArrival returns a request of one task with 4, 6 or 12 cores, and with an
// accelerator in three of ten cases. The caller sets its run time.
func drawLargeFleetArrival(r *rand.Rand, key int, at time.Duration, workload api.Workload) Arrival {
	cores := pickWeighted(r, []float64{0.4, 0.4, 0.2}, []int64{4, 6, 12})
	item := placement.Item{
		Key: api.RequestKey{Caller: "c", Key: fmt.Sprint(key)}, Pool: poolName, Region: region,
		Team: fmt.Sprintf("t%02d", r.IntN(100)), Kind: fmt.Sprint("kind", cores), Workload: workload, Tasks: 1, Accepted: at,
		Class:     pickWeighted(r, []float64{0.1, 0.6, 0.3}, []api.Class{api.ClassUrgent, api.ClassNormal, api.ClassLow}),
		Resources: api.Resources{MilliCPU: cores * 1000, MemoryMB: cores * (1024 + r.Int64N(1024))},
	}
	if r.Float64() < 0.3 {
		item.Resources.Accelerators = 1
		item.Kind += "-acc"
	}
	return Arrival{Item: item}
}
