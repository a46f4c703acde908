package job

import "github.com/pkg/errors"

// AdvisorTerms tell what asking the advisor costs and how long its tickets hold. A queue
// that has them may start a task only with a ticket.
type AdvisorConfig struct {
	DecisionMillis       float64 `cbor:"1,keyasint"` // of each call
	PerWorkerMillis      float64 `cbor:"2,keyasint"` // more for each worker named
	TicketValidityMillis int64   `cbor:"3,keyasint"`
}

// Queue is a route: where callers hand in jobs, and the pool that runs them.
type Queue struct {
	Name   string `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint"`
	Prefix string `cbor:"3,keyasint"`
	Pool   string `cbor:"4,keyasint"`
	// Priority 0 comes first and may preempt others.
	Priority     int            `cbor:"5,keyasint,omitempty"`
	MaxAttempts  int            `cbor:"6,keyasint,omitempty"` // failed runs of a task that end its job
	SlackFactor  float64        `cbor:"7,keyasint,omitempty"` // of the objective, on the chain of work
	TargetMillis int64          `cbor:"8,keyasint,omitempty"` // of the objective, added to it
	Advisor      *AdvisorConfig `cbor:"9,keyasint,omitempty"`
}

// Pool is a set of workers by the name that they announce.
type Pool struct {
	Name string `cbor:"1,keyasint"`
	// Guarded workers refuse what does not fit.
	AdmissionCheck bool `cbor:"2,keyasint,omitempty"`
	// Standby means that the pool's machines are off.
	Standby bool `cbor:"3,keyasint,omitempty"`
}

// Config is one version of the tables.
type Config struct {
	Version int64 `cbor:"1,keyasint"`
	// Document is the configuration as the operator sent it, compressed by the adapter.
	Document []byte  `cbor:"2,keyasint"`
	Queues   []Queue `cbor:"3,keyasint"`
	Pools    []Pool  `cbor:"4,keyasint"`
}

// Check refuses a queue that names an unknown pool, and two queues in one place.
func (c *Config) Check() error {
	pools := map[string]bool{}
	for _, p := range c.Pools {
		if pools[p.Name] {
			return errors.Errorf("pool %q stands twice", p.Name)
		}
		pools[p.Name] = true
	}
	type place struct{ host, prefix string }
	places := map[place]string{}
	for _, q := range c.Queues {
		if !pools[q.Pool] {
			return errors.Errorf("route %q names the unknown pool %q", q.Name, q.Pool)
		}
		at := place{q.Host, q.Prefix}
		if other, taken := places[at]; taken {
			return errors.Errorf("routes %q and %q have the same host and prefix", other, q.Name)
		}
		places[at] = q.Name
	}
	return nil
}

// queueIndex finds queues by host and then by the longest prefix.
type queueIndex map[string][]*Queue

func newQueueIndex(queues []Queue) queueIndex {
	index := queueIndex{}
	for i := range queues {
		index[queues[i].Host] = append(index[queues[i].Host], &queues[i])
	}
	return index
}

func (x queueIndex) find(host, path string) *Queue {
	var best *Queue
	for _, q := range x[host] {
		if len(path) >= len(q.Prefix) && path[:len(q.Prefix)] == q.Prefix && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}
