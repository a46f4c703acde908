package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

// jobClass is a kind of job in a load.
type jobClass struct {
	queue     job.Queue
	perSecond float64 // jobs
	width     float64 // mean number of tasks of a job
	gang      float64 // fraction of the jobs that are gangs
	step      job.Step
}

// mixedLoad is a load of urgent lookups, gangs and batches that takes about nine tenths of the
// processors of 350 workers with 32 cores.
func mixedLoad() []jobClass {
	class := func(name string, priority int, target int64, slack float64, advisor job.AdvisorConfig) job.Queue {
		advisor.TicketValidityMillis = 2000
		return job.Queue{Name: name, Host: "h", Prefix: "/" + name + "/", Pool: "desk", Priority: priority, MaxAttempts: 4, SlackFactor: slack, TargetMillis: target, Advisor: &advisor}
	}
	task := func(cpu, memory, millis int64, checkpointing bool) job.Step {
		return job.Step{TaskResources: job.Resources{MilliCPU: cpu, MemoryMB: memory}, EstimateMillis: millis, Checkpointing: checkpointing}
	}
	return []jobClass{
		{class("lookups", 0, 400, 1.5, job.AdvisorConfig{DecisionMillis: 14, PerWorkerMillis: 0.2}), 88, 3.2, 0.3, task(5000, 7000, 1000, false)},
		{class("gangs", 1, 1200, 2.2, job.AdvisorConfig{DecisionMillis: 560, PerWorkerMillis: 8}), 4.7, 24, 1, task(9000, 13000, 5000, true)},
		{class("batches", 2, 3000, 4, job.AdvisorConfig{DecisionMillis: 104, PerWorkerMillis: 1.4}), 12.3, 37, 0, task(3500, 6400, 2200, true)},
	}
}

// loadedCluster is a cluster under a load.
type loadedCluster struct {
	*cluster
	classes []jobClass
	rng     *rand.Rand
	lastJob job.ID
}

// newLoadedCluster returns a cluster of idle workers with 40 proxies for the advisor, to which the
// jobs of the classes are submitted at factor times their rate.
func newLoadedCluster(seed uint64, workers int, classes []jobClass, factor float64) *loadedCluster {
	k := &loadedCluster{cluster: newCluster(seed, faults{failedRun: 0.02}), classes: classes, rng: rand.New(rand.NewPCG(seed, 2))}
	config := &job.Config{Version: 1, Pools: []job.Pool{{Name: "desk"}}}
	for _, class := range classes {
		config.Queues = append(config.Queues, class.queue)
	}
	k.state.Apply(job.Op{Config: config})
	for i := range workers {
		k.addWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("10.0.0.%d:80", i), job.Resources{MilliCPU: 32_000, MemoryMB: 65_536})
	}
	var proxies []string
	for i := range 40 {
		proxies = append(proxies, fmt.Sprintf("proxy%02d", i))
	}
	k.sched.SetAdvisorProxies(proxies)
	k.run(3 * time.Second)
	for i := range classes {
		k.arrive(i, factor)
	}
	return k
}

// arrive submits a job of a class, and the next one after a random time.
func (k *loadedCluster) arrive(class int, factor float64) {
	c := k.classes[class]
	gap := -math.Log(1-k.rng.Float64()) / (c.perSecond * factor)
	k.schedule(time.Duration(gap*float64(time.Second)), func() {
		k.arrive(class, factor)
		k.lastJob++
		step := c.step
		step.Count = max(int(c.width*(0.2+1.6*k.rng.Float64())), 1)
		step.Gang = k.rng.Float64() < c.gang
		k.propose([]job.Op{{Submit: &job.Submit{ID: k.lastJob, Queue: c.queue.Name, Spec: job.Spec{Steps: []job.Step{step}}, AcceptedMillis: k.wallMillis()}}})
	})
}

// BenchmarkLoadedLeader measures the processor time of the scheduler for each started run while more
// work arrives than the workers can do, and the fraction of the jobs of each queue that are in time.
func BenchmarkLoadedLeader(b *testing.B) {
	k := newLoadedCluster(1, 350, mixedLoad(), 1.3)
	k.run(25 * time.Second)
	k.spent, k.startedRuns = 0, 0
	b.ResetTimer()
	for b.Loop() {
		k.run(k.now + time.Second)
	}
	b.ReportMetric(float64(k.spent.Microseconds())/float64(k.startedRuns), "µs/run")
	b.ReportMetric(float64(k.state.OpenCount()), "open")
	for _, class := range k.classes {
		b.ReportMetric(k.servedInTime(class.queue.Name), class.queue.Name+"-in-time")
	}
}

// servedInTime returns the fraction of the jobs of a queue that were done before their deadline, of
// those whose deadline has passed.
func (k *loadedCluster) servedInTime(queue string) float64 {
	inTime, due := 0, 0
	k.state.Jobs(func(j *job.Job) {
		deadline := j.AcceptedMillis + j.Queue.TargetMillis + int64(j.Queue.SlackFactor*float64(j.Spec.Steps[0].EstimateMillis))
		if j.Queue.Name != queue || deadline > k.wallMillis() {
			return
		}
		due++
		if j.Outcome == job.Completed && j.EndedMillis <= deadline {
			inTime++
		}
	})
	return float64(inTime) / float64(max(due, 1))
}
