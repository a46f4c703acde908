package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

const (
	region   = "r0"
	poolName = "p"
	// floodTeam is the team that submits the flood in the flood workloads.
	floodTeam = "t00"
)

// Arrival is one request of a workload.
type Arrival struct {
	Item        placement.Item
	RunTime     time.Duration // actual run time; the declared one is in Item
	ActualUsage api.Resources // of each task; zero if as declared
	CancelAt    time.Duration // 0 if never
	Flood       bool          // part of a flood
}

// Workload is a list of arrivals for a list of workers.
type Workload struct {
	Name           string
	Workers        []placement.Worker
	FailingWorkers map[string]bool // workers that fail every task
	Arrivals       []Arrival       // by time
	End            time.Duration
	// Window is the start and end of the time in which shares and utilization are measured.
	Window [2]time.Duration
	// Teams is the number of teams that share the pool.
	Teams int
}

// WithoutFlood returns the workload without the flood's arrivals.
func (w Workload) WithoutFlood() Workload {
	w.Arrivals = slices.DeleteFunc(slices.Clone(w.Arrivals), func(a Arrival) bool { return a.Flood })
	return w
}

// floodClass returns the class of the flood, or "" if there is none.
func (w *Workload) floodClass() api.Class {
	for i := range w.Arrivals {
		if w.Arrivals[i].Flood {
			return w.Arrivals[i].Item.Class
		}
	}
	return ""
}

// uniformWorkers returns n workers of equal capacity in racks of 8 and three failure domains.
func uniformWorkers(n int, cores int64) []placement.Worker {
	list := make([]placement.Worker, n)
	for i := range list {
		list[i] = placement.Worker{
			Name: fmt.Sprintf("w%04d", i), Pool: poolName, Region: region, Rack: fmt.Sprint("k", i/8),
			FailureDomain: fmt.Sprint("d", i/8%3), Slots: 8, Connections: 64,
			Capacity: api.Resources{MilliCPU: cores * 1000, MemoryMB: cores * 2 * 1024},
		}
	}
	return list
}

// generator draws random arrivals of a workload. Their sizes are fractions of a worker.
type generator struct {
	random       *rand.Rand
	cores        int64 // of a worker
	teams        int
	gangFraction float64            // fraction of the requests that are gangs
	misdeclare   bool               // declared sizes and run times are wrong by a factor of up to 10
	factorByKind map[string]float64 // not nil if all sizes of a kind are wrong by the same factor
	lastKey      int                // number in the key of the latest request
}

func newGenerator(seed uint64, cores int64) *generator {
	return &generator{random: rand.New(rand.NewPCG(seed, 2)), cores: cores, teams: 10, gangFraction: 0.02}
}

// draw returns a request of the mixed load: sizes from 1/16 of a worker to a whole worker,
// exponentially distributed run times of 20 s on average, and by default one gang in fifty
// requests.
func (g *generator) draw(at time.Duration) Arrival {
	g.lastKey++
	divisor := pickWeighted(g.random, []float64{0.3, 0.4, 0.2, 0.08, 0.02}, []int64{16, 8, 4, 2, 1})
	class := pickWeighted(g.random, []float64{0.15, 0.6, 0.25}, []api.Class{api.ClassUrgent, api.ClassNormal, api.ClassLow})
	item := placement.Item{
		Key: api.RequestKey{Caller: "c", Key: fmt.Sprint(g.lastKey)}, Pool: poolName, Region: region,
		Kind: fmt.Sprint("kind", divisor), Team: fmt.Sprintf("t%02d", g.random.IntN(g.teams)), Class: class,
		Workload: api.WorkloadBatch, Tasks: 1, Accepted: at,
		Resources: api.Resources{MilliCPU: g.cores * 1000 / divisor, MemoryMB: g.cores * (512 + g.random.Int64N(1536)) / divisor},
	}
	gang := g.random.Float64() < g.gangFraction
	runTime := time.Duration(g.random.ExpFloat64() * float64(20*time.Second))
	switch {
	case gang:
		item.Workload, item.Tasks = api.WorkloadGang, 4+g.random.IntN(13)
		item.Resources.MilliCPU, item.Resources.MemoryMB = g.cores*250, g.cores*256
		item.Kind = "gang"
	case g.random.Float64() < 0.2:
		item.Workload = api.WorkloadService
	}
	switch {
	case class == api.ClassUrgent && gang:
		item.Class = api.ClassNormal // urgent work is small
	case class == api.ClassUrgent:
		item.Resources.MilliCPU, item.Resources.MemoryMB = g.cores*1000/16, g.cores*2048/16
		item.Kind = "urgent"
	}
	runTime = max(runTime, 100*time.Millisecond)
	a := Arrival{Item: item, RunTime: runTime}
	a.Item.RunTime = runTime
	if g.misdeclare {
		g.misdeclareRunTimeAndSize(&a)
	}
	return a
}

// misdeclareRunTimeAndSize makes the declared run time and size wrong by factors of up to 10
// in either direction.
func (g *generator) misdeclareRunTimeAndSize(a *Arrival) {
	factor := func() float64 { return math.Pow(10, 2*g.random.Float64()-1) }
	a.Item.RunTime = time.Duration(float64(a.RunTime) * factor())
	f := factor()
	if g.factorByKind != nil {
		if g.factorByKind[a.Item.Kind] == 0 {
			g.factorByKind[a.Item.Kind] = f
		}
		f = g.factorByKind[a.Item.Kind]
	}
	a.ActualUsage = api.Resources{
		MilliCPU: min(int64(float64(a.Item.Resources.MilliCPU)*f), g.cores*1000),
		MemoryMB: min(int64(float64(a.Item.Resources.MemoryMB)*f), g.cores*2048),
	}
}

// pickWeighted returns one of the values at random. The weights are their probabilities.
func pickWeighted[T any](r *rand.Rand, weights []float64, values []T) T {
	x := r.Float64()
	for i, w := range weights {
		if x -= w; x < 0 {
			return values[i]
		}
	}
	return values[len(values)-1]
}

// generate draws arrivals from one time to another whose work is load times what the workers
// can do in that time, counted in the scarcer of CPU and slots. The run times are scaled so
// that the load is exact for each generated list, not only on average. modify, if not nil,
// changes each arrival that is drawn.
func (g *generator) generate(workers int, load float64, from, to time.Duration, modify func(*Arrival)) []Arrival {
	const sampleSize = 2000
	sampler := *g
	sampler.random = rand.New(rand.NewPCG(99, 99))
	sampled := make([]Arrival, sampleSize)
	for i := range sampled {
		sampled[i] = sampler.drawModified(0, modify)
	}
	rate := load * float64(workers) * sampleSize / g.workerSeconds(sampled)
	var list []Arrival
	for at := from; ; {
		at += time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			break
		}
		list = append(list, g.drawModified(at.Truncate(time.Millisecond), modify))
	}
	scale := load * float64(workers) * (to - from).Seconds() / g.workerSeconds(list)
	for i := range list {
		list[i].RunTime = time.Duration(float64(list[i].RunTime) * scale)
		list[i].Item.RunTime = time.Duration(float64(list[i].Item.RunTime) * scale)
	}
	return list
}

// drawModified draws an arrival and applies modify unless it is nil.
func (g *generator) drawModified(at time.Duration, modify func(*Arrival)) Arrival {
	a := g.draw(at)
	if modify != nil {
		modify(&a)
	}
	return a
}

// workerSeconds returns the work of the arrivals in the scarcer of CPU and slots. One worker
// does one worker-second of work per second.
func (g *generator) workerSeconds(list []Arrival) float64 {
	var cpu, slots float64
	for _, a := range list {
		taskSeconds := a.RunTime.Seconds() * float64(a.Item.Tasks)
		cpu += taskSeconds * float64(a.Item.Resources.MilliCPU) / float64(g.cores*1000)
		slots += taskSeconds / 8
	}
	return max(cpu, slots)
}

// sortByTime sorts the list in place by time of arrival and returns it.
func sortByTime(list []Arrival) []Arrival {
	slices.SortStableFunc(list, func(a, b Arrival) int { return int(a.Item.Accepted - b.Item.Accepted) })
	return list
}

// setDeadlines sets deadlines of 10 s after arrival for urgent work and of 2 min for normal
// work.
func setDeadlines(list []Arrival) {
	for i := range list {
		item := &list[i].Item
		switch item.Class {
		case api.ClassUrgent:
			item.Deadline = item.Accepted + 10*time.Second
		case api.ClassNormal:
			item.Deadline = item.Accepted + 2*time.Minute
		}
	}
}
