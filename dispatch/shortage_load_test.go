package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

// deployment is a set of workers with the queues of its callers.
type deployment struct {
	capacity  job.Resources // of each worker
	accounts  int           // number of client accounts, 0 for none
	outliers  float64       // fraction of the jobs that take seven times as long as estimated
	classes   []jobClass
	maxFactor float64 // greatest width of a job, relative to the mean of its queue
}

// deploymentA has workers of 64 cores and client accounts, deploymentB workers of 16 cores and jobs
// that take far longer than estimated.
func deploymentA() deployment {
	queue := func(name string, priority int, target int64, slack float64) job.Queue {
		return job.Queue{Name: name, Host: "h", Prefix: "/" + name + "/", Pool: "desk", Priority: priority, MaxAttempts: 4, SlackFactor: slack, TargetMillis: target}
	}
	task := func(cpu, memory, millis int64, checkpointing bool) job.Step {
		return job.Step{TaskResources: job.Resources{MilliCPU: cpu, MemoryMB: memory}, EstimateMillis: millis, Checkpointing: checkpointing}
	}
	return deployment{capacity: job.Resources{MilliCPU: 64_000, MemoryMB: 262_144}, accounts: 20, maxFactor: 6, classes: []jobClass{
		{queue("lookups", 0, 400, 1.5), 60, 3, 0.3, task(9900, 8000, 1000, false)},
		{queue("gangs", 1, 1200, 2.2), 4.5, 20, 1, task(18_000, 67_000, 4000, false)},
		{queue("batches", 2, 3000, 4), 14, 25, 0, task(6900, 8000, 2700, true)},
	}}
}

func deploymentB() deployment {
	d := deploymentA()
	d.capacity, d.accounts, d.outliers = job.Resources{MilliCPU: 16_000, MemoryMB: 32_768}, 0, 0.03
	for i := range d.classes {
		r := &d.classes[i].step.TaskResources
		r.MilliCPU, r.MemoryMB = r.MilliCPU*3/10, r.MemoryMB/8
	}
	return d
}

// loadPattern changes the rate of a load over time.
type loadPattern struct {
	name string
	// fill is the offered work as a fraction of the processors, and rate how many times that rate
	// the jobs of a queue and an account arrive at a time.
	fill float64
	rate func(at time.Duration, queue string, account int) float64
	// classes changes the classes, if not nil. outage is when the leader is lost for 3.5 s, 0 for never.
	classes func([]jobClass)
	outage  time.Duration
}

func during(at, from, to time.Duration) bool { return at >= from && at < to }

// loadPatterns returns the loads of a shortage.
func loadPatterns() []loadPattern {
	return []loadPattern{
		{name: "burst on a full pool", fill: 1.05, rate: func(at time.Duration, _ string, _ int) float64 {
			if during(at, 10*time.Second, 20*time.Second) {
				return 2.2
			}
			return 1
		}},
		{name: "wave that never quite fits", fill: 1.5, rate: func(at time.Duration, _ string, _ int) float64 {
			return 1 + 0.3*math.Sin(2*math.Pi*at.Seconds()/12)
		}},
		{name: "hot account", fill: 1, rate: func(at time.Duration, _ string, account int) float64 {
			if account == 9 && during(at, 10*time.Second, 15*time.Second) {
				return 7
			}
			return 1
		}},
		{name: "wide gangs under small jobs", fill: 1.3, classes: func(classes []jobClass) {
			classes[0].perSecond *= 2
			classes[1].perSecond *= 0.8
			classes[1].width *= 2
			classes[2].perSecond *= 0.4
		}},
		{name: "after an outage", fill: 1.05, outage: 10 * time.Second},
	}
}

const (
	judgedFrom     = 4 * time.Second // after the first job
	outageDuration = 3500 * time.Millisecond
)

// shortageWeights are the weights of the accounts, whose sum is 153.
var shortageWeights = []int{51, 17, 13, 9, 8, 7, 6, 6, 5, 4, 4, 3, 3, 3, 3, 3, 2, 2, 2, 2}

// offeredJob is a job that was submitted.
type offeredJob struct {
	id             job.ID
	class          int
	account        int
	work           float64 // estimated, in core-seconds
	acceptedMillis int64
	objective      int64
	isRejected     bool // by Scheduler.Admit, whether or not the load heeds it
}

// shortageLoad is a cluster under a load pattern.
type shortageLoad struct {
	*cluster
	deployment deployment
	pattern    loadPattern
	loads      *rand.Rand
	began      time.Duration
	offered    []offeredJob
	duration   time.Duration // of the arrivals
	admits     bool          // jobs that Scheduler.Admit rejects are not submitted
}

// meanWork returns the mean work of a job of a class in core-milliseconds.
func (c *jobClass) meanWork() float64 {
	return c.width * float64(c.step.TaskResources.MilliCPU) * float64(c.step.EstimateMillis) / 1000 * c.meanSteps()
}

// meanSteps returns the mean number of steps of a job; half of the batches have two.
func (c *jobClass) meanSteps() float64 {
	if c.queue.Priority == 2 {
		return 1.5
	}
	return 1
}

// newShortageLoad returns a cluster of idle workers to which a load is submitted.
func newShortageLoad(seed uint64, workers int, duration time.Duration, d deployment, p loadPattern, change func(*Scheduler)) *shortageLoad {
	k := &shortageLoad{cluster: newCluster(seed, faults{failedRun: 0.01}), deployment: d, pattern: p, duration: duration, loads: rand.New(rand.NewPCG(seed, 3))}
	k.cluster.onLeader = change
	config := &job.Config{Version: 1, Pools: []job.Pool{{Name: "desk"}}}
	d.classes = slices.Clone(d.classes)
	if p.classes != nil {
		p.classes(d.classes)
	}
	work := 0.0
	for _, class := range d.classes {
		config.Queues = append(config.Queues, class.queue)
		work += class.perSecond * class.meanWork()
	}
	scale := p.fill * float64(workers) * float64(d.capacity.MilliCPU) / work / (1 + 6*d.outliers)
	for i := range d.classes {
		d.classes[i].perSecond *= scale
	}
	k.deployment = d
	k.state.Apply(job.Op{Config: config})
	change(k.sched)
	k.trace = nil
	for i := range workers {
		k.addWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), d.capacity)
	}
	k.run(3 * time.Second)
	k.began = k.now
	for i := range d.classes {
		k.arrive(i)
	}
	if p.outage > 0 {
		k.schedule(p.outage, func() { k.failover(outageDuration) })
	}
	return k
}

// arrive submits the jobs of a class.
func (k *shortageLoad) arrive(class int) {
	c := &k.deployment.classes[class]
	const fastest = 8.0 // upper bound of a pattern's rate; the process is thinned to the rate
	gap := -math.Log(1-k.loads.Float64()) / (c.perSecond * fastest)
	k.schedule(time.Duration(gap*float64(time.Second)), func() {
		at := k.now - k.began
		if at > k.duration {
			return
		}
		k.arrive(class)
		account := k.drawAccount()
		rate := 1.0
		if k.pattern.rate != nil {
			rate = k.pattern.rate(at, c.queue.Name, account)
		}
		draw, width, gang, steps := k.loads.Float64(), -math.Log(1-k.loads.Float64()), k.loads.Float64(), k.loads.Float64()
		spread, outlier := 0.6+0.8*k.loads.Float64(), k.loads.Float64()
		if draw*fastest >= rate {
			return
		}
		step := c.step
		step.Count = min(max(int(math.Round(width*c.width)), 1), int(k.deployment.maxFactor*c.width))
		step.Gang = gang < c.gang
		step.Checkpointing = step.Checkpointing && outlier*97-math.Floor(outlier*97) < 0.8
		step.EstimateMillis = int64(spread * float64(step.EstimateMillis))
		spec := job.Spec{Steps: []job.Step{step}}
		if steps < c.meanSteps()-1 {
			second := step
			second.DependsOn = []int{0}
			spec.Steps = append(spec.Steps, second)
		}
		id := job.ID(len(k.offered) + 1)
		k.offered = append(k.offered, offeredJob{id: id, class: class, account: account,
			work: float64(len(spec.Steps)*step.Count) * float64(step.TaskResources.MilliCPU) / 1000 * float64(step.EstimateMillis) / 1000})
		if outlier < k.deployment.outliers {
			k.slowdown[id] = 7
		}
		k.submitWhenLed(len(k.offered)-1, spec)
	})
}

// drawAccount returns the number of the account of the next job.
func (k *shortageLoad) drawAccount() int {
	if k.deployment.accounts == 0 {
		return 0
	}
	n := k.loads.IntN(153)
	for i, weight := range shortageWeights {
		if n -= weight; n < 0 {
			return i
		}
	}
	return 0
}

// submitWhenLed submits a job, once there is a leader.
func (k *shortageLoad) submitWhenLed(n int, spec job.Spec) {
	if k.noLeader {
		k.schedule(20*time.Millisecond, func() { k.submitWhenLed(n, spec) })
		return
	}
	o := &k.offered[n]
	queue := k.deployment.classes[o.class].queue
	o.acceptedMillis = k.wallMillis()
	o.objective = queue.TargetMillis + int64(queue.SlackFactor*float64(criticalPathMillis(&spec, 0)))
	if o.isRejected = k.sched.Admit(&queue, &spec, "").Rejected; o.isRejected && k.admits {
		return
	}
	k.propose([]job.Op{{Submit: &job.Submit{ID: o.id, Queue: queue.Name, Spec: spec, AcceptedMillis: o.acceptedMillis}}})
}

// service counts jobs and their work by how they were served.
type service struct {
	inTime, late, lost             int
	inTimeWork, lateWork, lostWork float64 // in core-seconds
	value, possible                float64
}

func (v *service) add(o offeredJob, outcome lateness, weight float64) {
	v.possible += weight
	switch outcome {
	case inTime:
		v.inTime++
		v.inTimeWork += o.work
		v.value += weight
	case late:
		v.late++
		v.lateWork += o.work
		v.value += 0.2 * weight
	default:
		v.lost++
		v.lostWork += o.work
	}
}

// served returns the fraction of the jobs whose result was of use.
func (v *service) served() float64 {
	return float64(v.inTime+v.late) / float64(max(v.inTime+v.late+v.lost, 1))
}

// outcome returns how a job was served. A job that has not ended is worthless or will be judged
// later.
func (k *shortageLoad) outcome(o offeredJob) lateness {
	j := k.state.Job(o.id)
	if j == nil || j.Outcome != job.Completed {
		return worthless
	}
	switch took := j.EndedMillis - o.acceptedMillis; {
	case took <= o.objective:
		return inTime
	case took <= worthlessFactor*o.objective:
		return late
	}
	return worthless
}

// loadResult is how the jobs of a load were served.
type loadResult struct {
	queues  []service
	tenths  [][10]service // by queue and size, the smallest first
	account [10]service
	// rejected counts the jobs that Scheduler.Admit rejected, wronglyRejected those of them that were
	// served anyway, because the load did not heed it.
	rejected, wronglyRejected int
}

// result returns how the jobs were served.
func (k *shortageLoad) result() loadResult {
	r := loadResult{queues: make([]service, len(k.deployment.classes)), tenths: make([][10]service, len(k.deployment.classes))}
	for class := range k.deployment.classes {
		var jobs []offeredJob
		total := 0.0
		for _, o := range k.offered {
			if o.class == class && o.acceptedMillis >= 1_000_000+(k.began+judgedFrom).Milliseconds() {
				jobs = append(jobs, o)
				total += o.work
			}
		}
		mean := total / float64(max(len(jobs), 1))
		slices.SortStableFunc(jobs, func(x, y offeredJob) int { return cmp.Compare(x.work, y.work) })
		for i, o := range jobs {
			weight, outcome := min(0.3+0.7*o.work/mean, 4), k.outcome(o)
			if o.isRejected {
				r.rejected++
				if outcome != worthless {
					r.wronglyRejected++
				}
			}
			r.queues[class].add(o, outcome, weight)
			r.tenths[class][i*10/len(jobs)].add(o, outcome, weight)
			r.account[o.account/2].add(o, outcome, weight)
		}
	}
	return r
}

// merge adds the jobs of another load.
func (r *loadResult) merge(other loadResult) {
	if r.queues == nil {
		*r = other
		return
	}
	for i := range r.queues {
		r.queues[i].merge(other.queues[i])
		for n := range r.tenths[i] {
			r.tenths[i][n].merge(other.tenths[i][n])
		}
	}
	for n := range r.account {
		r.account[n].merge(other.account[n])
	}
	r.rejected, r.wronglyRejected = r.rejected+other.rejected, r.wronglyRejected+other.wronglyRejected
}

// merge adds the jobs of another load.
func (v *service) merge(o service) {
	v.inTime, v.late, v.lost = v.inTime+o.inTime, v.late+o.late, v.lost+o.lost
	v.inTimeWork, v.lateWork, v.lostWork = v.inTimeWork+o.inTimeWork, v.lateWork+o.lateWork, v.lostWork+o.lostWork
	v.value, v.possible = v.value+o.value, v.possible+o.possible
}

// score returns the mean over the queues of the value earned, as a fraction of what was possible.
func (r *loadResult) score() float64 {
	sum := 0.0
	for _, q := range r.queues {
		sum += q.value / q.possible
	}
	return sum / float64(len(r.queues))
}

// largest returns how often the jobs of a queue in its largest tenth and in the fifth below it are
// served, relative to the queue.
func (r *loadResult) largest(queue int) (tenth, fifth float64) {
	t := &r.tenths[queue]
	below := service{inTime: t[7].inTime + t[8].inTime, late: t[7].late + t[8].late, lost: t[7].lost + t[8].lost}
	all := r.queues[queue].served()
	return t[9].served() / all, below.served() / all
}

// table prints the result, one line for each queue and size tenth.
func (r *loadResult) table(classes []jobClass) string {
	var out strings.Builder
	line := func(name string, v *service) {
		fmt.Fprintf(&out, "%-16s in time %5d (%7.0f core-s)  late %5d (%7.0f)  not served %5d (%7.0f)  value %.3f\n", name,
			v.inTime, v.inTimeWork, v.late, v.lateWork, v.lost, v.lostWork, v.value/max(v.possible, 1e-9))
	}
	for i := range r.queues {
		line(classes[i].queue.Name, &r.queues[i])
		for n := range r.tenths[i] {
			line(fmt.Sprintf("  size tenth %d", n+1), &r.tenths[i][n])
		}
	}
	for n := range r.account {
		line(fmt.Sprintf("account tenth %d", n+1), &r.account[n])
	}
	return out.String()
}

// summary prints the score, how many rejected jobs were served anyway and how many were rejected, and for
// each queue its value, the served fraction, how often its largest tenth and the fifth below are served,
// and how often the largest tenth is in time, relative to the queue.
func (r *loadResult) summary() string {
	out := fmt.Sprintf("%.3f %d/%d", r.score(), r.wronglyRejected, r.rejected)
	for i := range r.queues {
		tenth, fifth := r.largest(i)
		t, q := &r.tenths[i][9], &r.queues[i]
		inTime := float64(t.inTime) / float64(t.inTime+t.late+t.lost) / (float64(q.inTime) / float64(q.inTime+q.late+q.lost))
		out += fmt.Sprintf(" | %.3f %.2f %.2f %.2f %.2f", q.value/q.possible, q.served(), tenth, fifth, inTime)
	}
	return out
}

// play runs the load until each job has been judged.
func (k *shortageLoad) play() loadResult {
	longest := int64(0)
	k.run(k.began + k.duration)
	for _, o := range k.offered {
		longest = max(longest, o.acceptedMillis+worthlessFactor*o.objective)
	}
	k.run(min(time.Duration(longest-1_000_000)*time.Millisecond, k.began+k.duration+50*time.Second))
	return k.result()
}

// BenchmarkShortage prints how the jobs of each load are served under each order.
func BenchmarkShortage(b *testing.B) {
	for _, d := range []struct {
		name string
		deployment
	}{{"A", deploymentA()}, {"B", deploymentB()}} {
		for _, p := range loadPatterns() {
			for _, order := range orders() {
				b.Run(d.name+"/"+p.name+"/"+order.name, func(b *testing.B) {
					for b.Loop() {
						var r loadResult
						for seed := range uint64(2) {
							k := newShortageLoad(seed+1, 120, 60*time.Second, d.deployment, p, func(s *Scheduler) {
								s.settings.OrderByCost = order.rank != nil
								s.rankSteps = func(steps []*readyStep) { order.rank(s, steps) }
							})
							k.admits = order.admits
							r.merge(k.play())
						}
						b.Logf("%s | %-26s | %-27s | %s", d.name, p.name, order.name, r.summary())
						if testing.Verbose() {
							b.Log("\n" + r.table(d.classes))
						}
					}
				})
			}
		}
	}
}

// BenchmarkOrderOfABacklog measures how long it takes to order 2000 waiting steps, with and without costs.
func BenchmarkOrderOfABacklog(b *testing.B) {
	k := newBacklog(60, 2000)
	for _, byCost := range []bool{false, true} {
		b.Run(fmt.Sprintf("byCost=%v", byCost), func(b *testing.B) {
			b.ReportAllocs()
			k.sched.settings.OrderByCost = byCost
			for b.Loop() {
				k.sched.readySteps()
			}
		})
	}
}
