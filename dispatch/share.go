package dispatch

import (
	"github.com/oleanderchute/oleanderchute/fairshare"
)

var shareSlack = 0.0 // TRIAL
var shareLump = 0.0  // TRIAL

// poolUsage is what the runs of one account take in one pool.
type poolUsage struct {
	pool      string
	used      amounts
	isWaiting bool // a step of the account is ready in the current pass
	isOver    bool // the account uses more than its part of the pool
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
		r.overShare = r.usage.isOver
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
			u.isOver = fairshare.DominantShare(u.used[:], total[:]) > (1+shareSlack)*fairshare.Entitlement(a.weight, weight[pool])+shareLump
		}
	}
}
