package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

const (
	// taskSpread is the standard deviation of the work of the tasks of one step.
	taskSpread = 0.15
	// longJobs is the fraction of the jobs whose tasks take longJobFactor times as long as usual.
	longJobs      = 0.03
	longJobFactor = 7
)

// unevenSpeeds are the speeds of the workers of an uneven cluster, a third of them each.
var unevenSpeeds = []float64{0.8, 1, 1.25}

// unevenLoad is a load of deployment A of docs/design/hard-load.md.
func unevenLoad() []jobClass {
	classes := mixedLoad()
	shape := func(class *jobClass, perSecond, width, gang float64, cpu, memory, millis int64, checkpointing bool) {
		class.perSecond, class.width, class.gang = perSecond, width, gang
		class.step = job.Step{TaskResources: job.Resources{MilliCPU: cpu, MemoryMB: memory}, EstimateMillis: millis, Checkpointing: checkpointing}
	}
	shape(&classes[0], 60, 3, 0.3, 9900, 14_000, 1000, false)
	shape(&classes[1], 4, 20, 1, 18_000, 67_000, 4000, true)
	shape(&classes[2], 17, 25, 0, 6900, 13_000, 2700, true)
	return classes
}

// unevenCluster is a cluster of workers of different speeds under a load whose run times differ
// from the estimates.
type unevenCluster struct {
	*cluster
	classes  []jobClass
	rng      *rand.Rand
	lastJob  job.ID
	jobWork  map[job.ID]time.Duration // of one task, before the spread
	estimate float64                  // mean ratio of the estimates to the run times
	// Since observe was called, in core-seconds: the processor time that runs held, the work of done
	// runs, and the processor time of runs that ended otherwise. gangRuns are the done runs of gangs.
	allocated, done, lost float64
	gangRuns              map[gangKey]*doneGang
}

// doneGang is a done run of a gang.
type doneGang struct {
	took, longest   time.Duration // its length, and the work of its longest member
	members         int
	speeds, slowest float64 // sum of the speeds of the members' workers, and the slowest of them
}

// newUnevenCluster returns a cluster of 350 workers to which the load arrives that takes a fraction
// of their capacity.
func newUnevenCluster(seed uint64, fraction float64, speeds []float64, estimate float64, orderByCost bool) *unevenCluster {
	k := &unevenCluster{cluster: newCluster(seed, faults{}), classes: unevenLoad(), rng: rand.New(rand.NewPCG(seed, 2)), jobWork: map[job.ID]time.Duration{}, estimate: estimate}
	k.orderByCost = orderByCost
	k.sched.settings = k.settings()
	k.work = k.taskWork
	config := &job.Config{Version: 1, Pools: []job.Pool{{Name: "desk"}}}
	for _, class := range k.classes {
		config.Queues = append(config.Queues, class.queue)
	}
	k.state.Apply(job.Op{Config: config})
	for i := range 350 {
		w := k.addWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("10.0.0.%d:80", i), job.Resources{MilliCPU: 64_000, MemoryMB: 262_144})
		w.speed = speeds[i/3%len(speeds)] // the advisor grants by the number modulo 3
	}
	var proxies []string
	for i := range 40 {
		proxies = append(proxies, fmt.Sprintf("proxy%02d", i))
	}
	k.sched.SetAdvisorProxies(proxies)
	k.run(3 * time.Second)
	for i := range k.classes {
		k.arrive(i, fraction*k.capacity()/k.offered())
	}
	return k
}

// capacity returns the work in core-seconds that the workers can do in a second.
func (k *unevenCluster) capacity() float64 {
	sum := 0.0
	for _, w := range k.workers {
		sum += w.speed * float64(w.info.Capacity.MilliCPU) / 1000
	}
	return sum
}

// offered returns the work in core-seconds that arrives in a second at the classes' rates.
func (k *unevenCluster) offered() float64 {
	sum := 0.0
	for _, c := range k.classes {
		sum += c.perSecond * c.width * float64(c.step.TaskResources.MilliCPU) / 1000 * float64(c.step.EstimateMillis) / 1000
	}
	return sum * (1 + longJobs*(longJobFactor-1))
}

// taskWork returns the work of a task: that of its job with taskSpread.
func (k *unevenCluster) taskWork(ref job.TaskRef) time.Duration {
	spread := rand.New(rand.NewPCG(uint64(ref.Job), uint64(ref.Index))).NormFloat64() * taskSpread
	return time.Duration(float64(k.jobWork[ref.Job]) * max(1+spread, 0.3))
}

// arrive submits a job of a class, and the next one after a random time. Its estimate is wrong by
// up to half in either direction.
func (k *unevenCluster) arrive(class int, factor float64) {
	c := k.classes[class]
	gap := -math.Log(1-k.rng.Float64()) / (c.perSecond * factor)
	k.schedule(time.Duration(gap*float64(time.Second)), func() {
		k.arrive(class, factor)
		k.lastJob++
		step := c.step
		step.Count = max(int(math.Round(c.width*(0.2+1.6*k.rng.Float64()))), 1)
		step.Gang = k.rng.Float64() < c.gang
		work := time.Duration(c.step.EstimateMillis) * time.Millisecond
		step.EstimateMillis = int64(float64(step.EstimateMillis) * k.estimate * (0.5 + k.rng.Float64()))
		if k.rng.Float64() < longJobs {
			work *= longJobFactor
		}
		k.jobWork[k.lastJob] = work
		k.propose([]job.Op{{Submit: &job.Submit{ID: k.lastJob, Queue: c.queue.Name, Spec: job.Spec{Steps: []job.Step{step}}, AcceptedMillis: k.wallMillis()}}})
	})
}

// observe starts to measure what the runs take and do.
func (k *unevenCluster) observe() {
	k.gangRuns = map[gangKey]*doneGang{}
	k.onEnd = func(r *fakeRun, kind job.EndKind) {
		if kind != job.EndDone {
			k.lost += (k.now - r.beganAt).Seconds() * float64(r.step.TaskResources.MilliCPU) / 1000
			return
		}
		k.done += r.work.Seconds() * float64(r.step.TaskResources.MilliCPU) / 1000
		if !r.step.Gang || r.step.Count < 2 {
			return
		}
		key := gangKey{r.key.task.StepRef, r.key.run}
		g := k.gangRuns[key]
		if g == nil {
			g = &doneGang{took: k.now - r.beganAt}
			k.gangRuns[key] = g
		}
		g.longest = max(g.longest, r.work)
		g.members++
		if g.speeds += r.worker.speed; g.slowest == 0 || r.worker.speed < g.slowest {
			g.slowest = r.worker.speed
		}
	}
	k.sampleAllocated()
}

// sampleAllocated adds up the processors that runs hold, every 100 ms.
func (k *unevenCluster) sampleAllocated() {
	for _, w := range k.workers {
		for _, r := range w.runs {
			k.allocated += 0.1 * float64(r.step.TaskResources.MilliCPU) / 1000
		}
	}
	k.schedule(100*time.Millisecond, k.sampleAllocated)
}

// inTime returns the fraction of the jobs of a queue accepted after a time that were done within
// their objective, of those whose objective has passed. The critical path is that of the estimates,
// or of the work if byWork is set.
func (k *unevenCluster) inTime(queue string, after int64, byWork bool) float64 {
	inTime, due := 0, 0
	k.state.Jobs(func(j *job.Job) {
		path := float64(j.Spec.Steps[0].EstimateMillis)
		if byWork {
			path = float64(k.jobWork[j.ID].Milliseconds())
		}
		deadline := j.AcceptedMillis + j.Queue.TargetMillis + int64(j.Queue.SlackFactor*path)
		if j.Queue.Name != queue || deadline > k.wallMillis() || j.AcceptedMillis < after {
			return
		}
		due++
		if j.Outcome == job.Completed && j.EndedMillis <= deadline {
			inTime++
		}
	})
	return float64(inTime) / float64(max(due, 1))
}

// BenchmarkUnevenWorkers prints, at 0.9 and 1.2 times what the workers can do: the fraction of the
// jobs of each queue that are in time by the estimates and by the work; the capacity that is
// allocated, does work of done runs, and is lost to runs that are stopped; the length of gangs
// relative to their longest member at speed 1, and the mean speed of their workers relative to the
// slowest of them; the mean error of the learned speeds, as a logarithm.
func BenchmarkUnevenWorkers(b *testing.B) {
	for _, load := range []float64{0.9, 1.2} {
		for _, v := range []struct {
			name        string
			speeds      []float64
			estimate    float64
			orderByCost bool
		}{
			{"even", []float64{1}, 1, false},
			{"uneven", unevenSpeeds, 1, false},
			{"learned", unevenSpeeds, 1, true},
			{"uneven-short", unevenSpeeds, 0.67, false},
			{"learned-short", unevenSpeeds, 0.67, true},
		} {
			b.Run(fmt.Sprintf("load=%v/%s", load, v.name), func(b *testing.B) {
				var m unevenMeans
				for b.Loop() {
					m.add(runUneven(uint64(m.n+1), load, v.speeds, v.estimate, v.orderByCost))
				}
				m.report(b)
			})
		}
	}
}

// unevenMeans are means over runs of a benchmark, by name.
type unevenMeans struct {
	n    int
	sums map[string]float64
}

func (m *unevenMeans) add(values map[string]float64) {
	if m.n++; m.sums == nil {
		m.sums = map[string]float64{}
	}
	for name, v := range values {
		m.sums[name] += v
	}
}

func (m *unevenMeans) report(b *testing.B) {
	for name, sum := range m.sums {
		b.ReportMetric(sum/float64(m.n), name)
	}
	b.ReportMetric(0, "ns/op")
}

// runUneven runs a load for a minute and returns what is measured after the first 15 s.
func runUneven(seed uint64, load float64, speeds []float64, estimate float64, orderByCost bool) map[string]float64 {
	k := newUnevenCluster(seed, load, speeds, estimate, orderByCost)
	k.run(18 * time.Second)
	after, examined := k.wallMillis(), k.sched.examined
	k.spent, k.startedRuns = 0, 0
	k.observe()
	k.run(63 * time.Second)
	out := map[string]float64{}
	for _, c := range k.classes {
		out[c.queue.Name+"-in-time"] = k.inTime(c.queue.Name, after, false)
		out[c.queue.Name+"-in-time-by-work"] = k.inTime(c.queue.Name, after, true)
	}
	out["allocated"] = k.allocated / (350 * 64 * 45)
	out["done"] = k.done / (k.capacity() * 45)
	took, longest, spans, wide := 0.0, 0.0, 0.0, 0.0
	for _, g := range k.gangRuns {
		if g.members > 5 { // others often fit on one worker
			took += g.took.Seconds()
			longest += g.longest.Seconds()
			spans += g.speeds / float64(g.members) / g.slowest
			wide++
		}
	}
	out["gang-length"] = took / longest
	out["gang-speed-span"] = spans / wide
	out["examined/run"] = float64(k.sched.examined-examined) / float64(k.startedRuns)
	out["lost"] = k.lost / (350 * 64 * 45)
	errors, known := 0.0, 0
	for _, w := range k.sched.workers {
		if w.speed.runs > 0 {
			errors += math.Abs(math.Log(w.speed.value() / k.workers[w.info.Address].speed))
			known++
		}
	}
	out["speed-error"] = errors / float64(max(known, 1))
	for _, c := range k.classes {
		out[c.queue.Name+"-ratio"] = float64(k.sched.expectedMillis(c.queue.Name, 1000)) / 1000
	}
	out["us/run"] = float64(k.spent.Microseconds()) / float64(k.startedRuns)
	return out
}
