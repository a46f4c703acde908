package dispatch

import (
	"cmp"
	"slices"

	"github.com/oleanderchute/oleanderchute/fairshare"
	"github.com/oleanderchute/oleanderchute/job"
)

const (
	// shareLump is added to the entitlement of an account, as a fraction of the pool, before the
	// account counts as one that uses more: one wide gang takes about this much, which is more than
	// the whole entitlement of a small account.
	shareLump = 0.016
	// rateBurst is how many seconds' worth of its jobs an account may send at once before a job counts
	// as beyond its rate.
	rateBurst = 1.0
	// maxRateDebt limits what an account that sends more than its rate has to make up for, in seconds'
	// worth of its jobs. A new leader computes it from the jobs that were accepted since.
	maxRateDebt = 30.0
)

// jobRate measures the jobs of an account against its weight, which is the number of jobs per second
// that it is owed: a bucket that each accepted job fills by one and that empties at that rate.
type jobRate struct {
	level    float64
	atMillis int64 // Unix time at which the newest job was accepted
}

// accept adds a job that was accepted at a Unix time in milliseconds, and reports whether it is beyond
// the rate.
func (r *jobRate) accept(weight float64, atMillis int64) bool {
	elapsed := float64(max(atMillis-r.atMillis, 0)) / 1000 // leaders' clocks differ
	r.level = max(0, r.level-weight*elapsed)
	r.atMillis = max(r.atMillis, atMillis)
	isBeyond := r.level >= max(weight*rateBurst, 1)
	r.level = min(r.level+1, max(weight, 1)*(rateBurst+maxRateDebt))
	return isBeyond
}

// jobAccepted measures a job that was stored against the rate of its account.
func (s *Scheduler) jobAccepted(j *job.Job) {
	if a := s.accountNamed(j.Account); a.rate.accept(a.weight, j.AcceptedMillis) {
		s.beyondRate[j.ID] = true
	}
}

// replayRates measures the jobs that earlier leaders accepted recently against the rates.
func (s *Scheduler) replayRates() {
	if !s.state.Config().HasAccounts {
		return
	}
	var recent []*job.Job
	since := s.wallMillis - int64(1000*(rateBurst+maxRateDebt))
	s.state.Jobs(func(j *job.Job) {
		if j.AcceptedMillis >= since {
			recent = append(recent, j)
		}
	})
	slices.SortFunc(recent, func(a, b *job.Job) int {
		return cmp.Or(cmp.Compare(a.AcceptedMillis, b.AcceptedMillis), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range recent {
		s.jobAccepted(j)
	}
}

// poolUsage is what the runs of one account take in one pool.
type poolUsage struct {
	pool      string
	used      amounts
	isWaiting bool // a step of the account is ready in the current pass
	isOver    bool // the account uses more than its part of the pool
	// share is the dominant share of the pool, and entitlement the part by weight, in the newest pass.
	share, entitlement float64
}

// usageIn returns the usage of an account in a pool, creating it if it is absent.
func (a *accountUsage) usageIn(pool string) *poolUsage {
	u := a.usage[pool]
	if u == nil {
		u = &poolUsage{pool: pool}
		a.usage[pool] = u
	}
	return u
}

// updateShares sets, for each ready step, whether its account uses more of the pool than it is
// entitled to. The accounts that have runs or ready steps in a pool share it by weight.
func (s *Scheduler) updateShares() {
	if !s.state.Config().HasAccounts {
		for _, r := range s.ordered {
			r.overShare = false
		}
		return
	}
	for _, r := range s.ordered {
		if r.usage == nil || r.usage.pool != r.pool {
			r.usage = r.account.usageIn(r.pool)
		}
		r.usage.isWaiting = true
	}
	s.updateOverShares()
	for _, r := range s.ordered {
		r.overShare = r.usage.isOver && s.beyondRate[r.ref.Job]
		r.usage.isWaiting = false
	}
}

// updateOverShares sets which accounts use more than their part of each pool.
func (s *Scheduler) updateOverShares() {
	capacity, weight := map[string]amounts{}, map[string]float64{}
	for _, w := range s.workers {
		if !w.isOver {
			c := capacity[w.info.Pool]
			c.add(amountsOf(w.info.Capacity))
			capacity[w.info.Pool] = c
		}
	}
	for _, a := range s.accounts {
		for pool, u := range a.usage {
			if u.isWaiting || u.used != (amounts{}) {
				weight[pool] += a.weight
			}
		}
	}
	for _, a := range s.accounts {
		for pool, u := range a.usage {
			total := capacity[pool]
			u.share, u.entitlement = fairshare.DominantShare(u.used[:], total[:]), 0
			if weight[pool] > 0 {
				u.entitlement = fairshare.Entitlement(a.weight, weight[pool])
			}
			u.isOver = u.share > u.entitlement+shareLump
		}
	}
}

// accountLoads returns the load of each account of the configuration.
func (s *Scheduler) accountLoads() []AccountLoad {
	var out []AccountLoad
	for i := range s.state.Config().Accounts {
		l := AccountLoad{Name: s.state.Config().Accounts[i].Name}
		if a := s.accounts[l.Name]; a != nil {
			l.BlockedSteps = a.blockedSteps
			for _, u := range a.usage {
				if u.share >= l.Share {
					l.Share, l.Entitlement = u.share, u.entitlement
				}
			}
			for d, limit := range a.limit {
				if limit > 0 {
					l.LimitUsed = max(l.LimitUsed, float64(a.used[d])/float64(limit))
				}
			}
		}
		out = append(out, l)
	}
	return out
}
