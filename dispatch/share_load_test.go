package dispatch

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

// accountWeights are the weights of the accounts in the loads below: a few large accounts, and
// twelve small ones with 1 to 2% each.
var accountWeights = []float64{51, 24, 16, 12, 8, 6, 5, 4, 3, 3, 3, 2, 2, 2, 2, 2, 2, 2, 2, 2}

// wideLoad is a load of urgent tasks, wide gangs and batches that takes about all processors of 350
// workers with 64 cores.
func wideLoad() []jobClass {
	classes := mixedLoad()
	for i, step := range []job.Step{
		{TaskResources: job.Resources{MilliCPU: 9900, MemoryMB: 20_000}, EstimateMillis: 1000},
		{TaskResources: job.Resources{MilliCPU: 18_000, MemoryMB: 67_000}, EstimateMillis: 4000},
		{TaskResources: job.Resources{MilliCPU: 6900, MemoryMB: 14_000}, EstimateMillis: 2700, Checkpointing: true},
	} {
		classes[i].step = step
	}
	classes[0].perSecond, classes[0].width = 60, 3
	classes[1].perSecond, classes[1].width = 6, 20
	classes[2].perSecond, classes[2].width = 16, 37
	return classes
}

// accountLoad is a load in which each job belongs to an account, in proportion to the weights. hot is
// the index of an account that sends factor times its usual load from hotFrom to hotUntil, or -1.
type accountLoad struct {
	hot               int
	factor            float64
	hotFrom, hotUntil time.Duration
	hasAccounts       bool // the configuration has accounts
	seed              uint64
	workers           int
	load              float64
}

// scale is the size of the pool relative to the one for which the rates and weights are.
func (l accountLoad) scale() float64 { return float64(l.workers) / 350 }

// run returns the mean value of the jobs of each account that were submitted between from and until.
func (l accountLoad) run(from, until time.Duration) []float64 {
	k := newCluster(l.seed, faults{failedRun: 0.02})
	k.sched.record = func(Decision) {}  // a trace of this length takes much memory
	k.sched.settings.OrderByCost = true // with and without accounts, so that only the shares differ
	config := &job.Config{Version: 1, Pools: []job.Pool{{Name: "desk"}}, HasAccounts: l.hasAccounts}
	classes := wideLoad()
	for _, class := range classes {
		config.Queues = append(config.Queues, class.queue)
	}
	total := 0.0
	for i, w := range accountWeights {
		total += w
		if l.hasAccounts {
			config.Accounts = append(config.Accounts, job.Account{Name: fmt.Sprint("account", i), Weight: w * l.scale()})
		}
	}
	k.state.Apply(job.Op{Config: config})
	for i := range l.workers {
		k.addWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("10.0.0.%d:80", i), job.Resources{MilliCPU: 64_000, MemoryMB: 262_144})
	}
	var proxies []string
	for i := range 40 {
		proxies = append(proxies, fmt.Sprintf("proxy%02d", i))
	}
	k.sched.SetAdvisorProxies(proxies)
	k.run(3 * time.Second)
	lastJob := job.ID(0)
	var arrive func(account, class int)
	arrive = func(account, class int) {
		c := classes[class]
		rate := c.perSecond * accountWeights[account] / total * l.load * l.scale()
		if account == l.hot && k.now >= l.hotFrom && k.now < l.hotUntil {
			rate *= l.factor
		}
		gap := time.Duration(-math.Log(1-k.rng.Float64()) / rate * float64(time.Second))
		if account == l.hot && k.now < l.hotFrom && k.now+gap > l.hotFrom {
			k.schedule(l.hotFrom-k.now, func() { arrive(account, class) })
			return
		}
		k.schedule(gap, func() {
			arrive(account, class)
			lastJob++
			step := c.step
			step.Count = max(int(c.width*(0.2+1.6*k.rng.Float64())), 1)
			step.Gang = k.rng.Float64() < c.gang
			k.propose([]job.Op{{Submit: &job.Submit{ID: lastJob, Queue: c.queue.Name, Spec: job.Spec{Steps: []job.Step{step}},
				AcceptedMillis: k.wallMillis(), Account: fmt.Sprint("account", account)}}})
		})
	}
	for account := range accountWeights {
		for class := range classes {
			arrive(account, class)
		}
	}
	k.run(until + 10*time.Second)
	values, counts := make([]float64, len(accountWeights)), make([]float64, len(accountWeights))
	first, last := 1_000_000+from.Milliseconds(), 1_000_000+until.Milliseconds()
	k.state.Jobs(func(j *job.Job) {
		if j.AcceptedMillis < first || j.AcceptedMillis >= last {
			return
		}
		i, _ := strconv.Atoi(j.Account[len("account"):])
		counts[i]++
		objective := j.Queue.TargetMillis + int64(j.Queue.SlackFactor*float64(j.Spec.Steps[0].EstimateMillis))
		switch took := j.EndedMillis - j.AcceptedMillis; {
		case j.Outcome != job.Completed || took > worthlessFactor*objective:
		case took > objective:
			values[i] += 0.2
		default:
			values[i]++
		}
	})
	for i := range values {
		values[i] /= max(counts[i], 1)
	}
	return values
}

// worstTenth returns the mean of the two lowest values and of all, without the account at skip.
func worstTenth(values []float64, skip int) (worst, mean float64) {
	var others []float64
	for i, v := range values {
		if i != skip {
			others = append(others, v)
			mean += v
		}
	}
	slices.Sort(others)
	return (others[0] + others[1]) / 2, mean / float64(len(others))
}

// BenchmarkHotAccount measures the mean value of the jobs of the other accounts, of all and of the worst
// tenth, beside an account that sends six times its usual load for 5 s: none, the one with the weight 24
// and the one with the weight 8; first without accounts in the configuration and then with them.
func BenchmarkHotAccount(b *testing.B) {
	for _, hot := range []int{-1, 1, 4} {
		for _, hasAccounts := range []bool{false, true} {
			name := fmt.Sprintf("none/accounts=%v", hasAccounts)
			if hot >= 0 {
				name = fmt.Sprintf("weight=%v/accounts=%v", accountWeights[hot], hasAccounts)
			}
			b.Run(name, func(b *testing.B) {
				worstSum, meanSum, hotSum, n := 0.0, 0.0, 0.0, 0.0
				for b.Loop() {
					n++
					l := accountLoad{hot: hot, factor: 6, hotFrom: 10 * time.Second, hotUntil: 15 * time.Second, hasAccounts: hasAccounts, seed: uint64(n), workers: 350, load: 0.9}
					values := l.run(10*time.Second, 22*time.Second)
					worst, mean := worstTenth(values, hot)
					worstSum, meanSum = worstSum+worst, meanSum+mean
					if hot >= 0 {
						hotSum += values[hot]
					}
				}
				b.ReportMetric(worstSum/n, "worst-tenth")
				b.ReportMetric(meanSum/n, "others")
				b.ReportMetric(hotSum/n, "hot")
			})
		}
	}
}
