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
	// floodTeam sends the flood in the flood workloads.
	floodTeam = "t00"
)

// Arrival is one request of a workload.
type Arrival struct {
	Item        placement.Item
	RunTime     time.Duration // true run time; the declared one is in Item
	ActualUsage api.Resources // true use; zero if as declared
	CancelAt    time.Duration // 0 if never
	Flood       bool
}

// Workload is a list of arrivals for a list of workers.
type Workload struct {
	Name           string
	Workers        []placement.Worker
	FailingWorkers map[string]bool // workers that fail every task
	Arrivals       []Arrival       // by time
	End            time.Duration
	// Window is the part of the time in which shares and packing are measured.
	Window [2]time.Duration
	// OwedTeams is the number of teams that share the pool.
	Teams int
}

// Without returns the workload without the flood's arrivals.
func (w Workload) WithoutFlood() Workload {
	w.Arrivals = slices.DeleteFunc(slices.Clone(w.Arrivals), func(a Arrival) bool { return a.Flood })
	return w
}

// floodClass is the class of the flood, or empty if there is none.
func (w *Workload) floodClass() api.Class {
	for i := range w.Arrivals {
		if w.Arrivals[i].Flood {
			return w.Arrivals[i].Item.Class
		}
	}
	return ""
}

func firmWorkers(n int, cores int64) []placement.Worker {
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

// generator draws the arrivals of a workload. Sizes are in parts of a worker.
type generator struct {
	random *rand.Rand
	cores  int64 // of a worker
	teams  int
	gangs  float64            // part of the requests that are gangs
	wrong  bool               // declared sizes and run times are wrong by up to ten times
	byKind map[string]float64 // not nil if all sizes of a kind are wrong by one factor
	next   int
}

func newGenerator(seed uint64, cores int64) *generator {
	return &generator{random: rand.New(rand.NewPCG(seed, 2)), cores: cores, teams: 10, gangs: 0.02}
}

// draw returns a request of the mixed day: sizes of 1/16 of a worker to a whole one,
// exponential run times of 20 s on average, one in fifty a gang.
func (g *generator) draw(at time.Duration) Arrival {
	g.next++
	size := pick(g.random, []float64{0.3, 0.4, 0.2, 0.08, 0.02}, []int64{16, 8, 4, 2, 1})
	class := pick(g.random, []float64{0.15, 0.6, 0.25}, []api.Class{api.ClassUrgent, api.ClassNormal, api.ClassLow})
	item := placement.Item{
		Key: api.RequestKey{Caller: "c", Key: fmt.Sprint(g.next)}, Pool: poolName, Region: region,
		Kind: fmt.Sprint("kind", size), Team: fmt.Sprintf("t%02d", g.random.IntN(g.teams)), Class: class,
		Workload: api.WorkloadBatch, Tasks: 1, Accepted: at,
		Resources: api.Resources{MilliCPU: g.cores * 1000 / size, MemoryMB: g.cores * (512 + g.random.Int64N(1536)) / size},
	}
	gang := g.random.Float64() < g.gangs
	run := time.Duration(g.random.ExpFloat64() * float64(20*time.Second))
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
	run = max(run, 100*time.Millisecond)
	a := Arrival{Item: item, RunTime: run}
	a.Item.RunTime = run
	if g.wrong {
		g.makeWrong(&a)
	}
	return a
}

// makeWrong declares a run time and a size that are off by up to ten times.
func (g *generator) makeWrong(a *Arrival) {
	factor := func() float64 { return math.Pow(10, 2*g.random.Float64()-1) }
	a.Item.RunTime = time.Duration(float64(a.RunTime) * factor())
	f := factor()
	if g.byKind != nil {
		if g.byKind[a.Item.Kind] == 0 {
			g.byKind[a.Item.Kind] = f
		}
		f = g.byKind[a.Item.Kind]
	}
	a.ActualUsage = api.Resources{
		MilliCPU: min(int64(float64(a.Item.Resources.MilliCPU)*f), g.cores*1000),
		MemoryMB: min(int64(float64(a.Item.Resources.MemoryMB)*f), g.cores*2048),
	}
}

func pick[T any](r *rand.Rand, weights []float64, values []T) T {
	x := r.Float64()
	for i, w := range weights {
		if x -= w; x < 0 {
			return values[i]
		}
	}
	return values[len(values)-1]
}

// fill draws arrivals between two times that bring load times the work that the workers
// can do in that time. The work counts the scarcer of CPU and slots; the run times are
// scaled so that it is exact for each list drawn, not only on average.
func (g *generator) fill(workers int, load float64, from, to time.Duration, change func(*Arrival)) []Arrival {
	const sample = 2000
	probe := *g
	probe.random = rand.New(rand.NewPCG(99, 99))
	probed := make([]Arrival, sample)
	for i := range probed {
		probed[i] = probe.drawChanged(0, change)
	}
	rate := load * float64(workers) * sample / g.work(probed)
	var list []Arrival
	for at := from; ; {
		at += time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			break
		}
		list = append(list, g.drawChanged(at.Truncate(time.Millisecond), change))
	}
	scale := load * float64(workers) * (to - from).Seconds() / g.work(list)
	for i := range list {
		list[i].RunTime = time.Duration(float64(list[i].RunTime) * scale)
		list[i].Item.RunTime = time.Duration(float64(list[i].Item.RunTime) * scale)
	}
	return list
}

func (g *generator) drawChanged(at time.Duration, change func(*Arrival)) Arrival {
	a := g.draw(at)
	if change != nil {
		change(&a)
	}
	return a
}

// work is what the arrivals take in the scarcer of CPU and slots, in worker-seconds.
func (g *generator) work(list []Arrival) float64 {
	var cpu, slots float64
	for _, a := range list {
		work := a.RunTime.Seconds() * float64(a.Item.Tasks)
		cpu += work * float64(a.Item.Resources.MilliCPU) / float64(g.cores*1000)
		slots += work / 8
	}
	return max(cpu, slots)
}

func byTime(list []Arrival) []Arrival {
	slices.SortStableFunc(list, func(a, b Arrival) int { return int(a.Item.Accepted - b.Item.Accepted) })
	return list
}

// setDeadlines gives urgent work 10 s and normal work 2 min to start.
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
