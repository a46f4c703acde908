package job

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"
)

// AdvisorConfig describes the latency of calls to a queue's advisor and the validity of its
// tickets. A queue that has an advisor starts a task only with a valid ticket.
type AdvisorConfig struct {
	DecisionMillis       float64 `cbor:"1,keyasint"` // latency of each call
	PerWorkerMillis      float64 `cbor:"2,keyasint"` // additional latency for each worker named in the call
	TicketValidityMillis int64   `cbor:"3,keyasint"` // how long a ticket is valid
}

// Queue is a route of the configuration: the host and path prefix at which callers submit
// jobs, and the pool that runs them.
type Queue struct {
	Name   string `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint"`
	Prefix string `cbor:"3,keyasint"`
	Pool   string `cbor:"4,keyasint"`
	// Priority 0 is the most urgent; runs of a lower number may preempt those of a higher one.
	Priority     int            `cbor:"5,keyasint,omitempty"`
	MaxAttempts  int            `cbor:"6,keyasint,omitempty"` // number of failed runs of one task after which its job fails
	SlackFactor  float64        `cbor:"7,keyasint,omitempty"` // the objective is the critical path times this factor plus TargetMillis
	TargetMillis int64          `cbor:"8,keyasint,omitempty"` // constant part of the objective
	Advisor      *AdvisorConfig `cbor:"9,keyasint,omitempty"`
	// Public means that callers need no key. It has an effect only if accounts are configured.
	Public bool `cbor:"10,keyasint,omitempty"`
}

// Pool is the set of workers that announce its name.
type Pool struct {
	Name string `cbor:"1,keyasint"`
	// AdmissionCheck means that the pool's workers refuse tasks that exceed their free capacity.
	AdmissionCheck bool `cbor:"2,keyasint,omitempty"`
	// Standby means that the pool's machines are powered off.
	Standby bool `cbor:"3,keyasint,omitempty"`
}

// Config is one version of the configuration.
type Config struct {
	Version int64 `cbor:"1,keyasint"`
	// Document is the configuration as the operator sent it, compressed by the adapter that
	// received it.
	Document []byte  `cbor:"2,keyasint"`
	Queues   []Queue `cbor:"3,keyasint"`
	Pools    []Pool  `cbor:"4,keyasint"`
	// HasAccounts means that callers need a key of one of the Accounts.
	HasAccounts bool      `cbor:"5,keyasint,omitempty"`
	Accounts    []Account `cbor:"6,keyasint,omitempty"`
}

// Location is where callers reach a queue. A configuration has at most one queue at each location.
type Location struct{ Host, Prefix string }

// Location returns the location of the queue.
func (q *Queue) Location() Location { return Location{q.Host, q.Prefix} }

// Check returns an error if a pool is defined twice, a queue names an unknown pool, two queues have
// the same host and prefix, or an account is invalid.
func (c *Config) Check() error {
	pools := map[string]bool{}
	for _, p := range c.Pools {
		if pools[p.Name] {
			return errors.Errorf("pool %q is defined twice", p.Name)
		}
		pools[p.Name] = true
	}
	routesByLocation := map[Location]string{}
	for _, q := range c.Queues {
		if !pools[q.Pool] {
			return errors.Errorf("route %q names the unknown pool %q", q.Name, q.Pool)
		}
		if other, taken := routesByLocation[q.Location()]; taken {
			return errors.Errorf("routes %q and %q have the same host and prefix", other, q.Name)
		}
		routesByLocation[q.Location()] = q.Name
	}
	return checkAccounts(c.Accounts)
}

// NameQueuesUniquely adds the location to the name of each queue whose name an earlier one has. Operations refer
// to queues by name; operators may give several the same one.
func (c *Config) NameQueuesUniquely() {
	taken := make(map[string]bool, len(c.Queues))
	for i := range c.Queues {
		q := &c.Queues[i]
		for taken[q.Name] {
			q.Name = fmt.Sprintf("%s (%s%s)", q.Name, q.Host, q.Prefix)
		}
		taken[q.Name] = true
	}
}

// QueueAt returns the queue at a location, or nil.
func (c *Config) QueueAt(l Location) *Queue {
	if i := slices.IndexFunc(c.Queues, func(q Queue) bool { return q.Location() == l }); i >= 0 {
		return &c.Queues[i]
	}
	return nil
}

// queueIndex finds the queues of a configuration.
type queueIndex struct {
	byHost     map[string][]*Queue
	byLocation map[Location]*Queue
	byName     map[string]*Queue // the first of each name
}

func newQueueIndex(queues []Queue) queueIndex {
	x := queueIndex{map[string][]*Queue{}, map[Location]*Queue{}, map[string]*Queue{}}
	for i := range queues {
		q := &queues[i]
		x.byHost[q.Host] = append(x.byHost[q.Host], q)
		x.byLocation[q.Location()] = q
		if x.byName[q.Name] == nil {
			x.byName[q.Name] = q
		}
	}
	return x
}

// find returns the queue with the longest prefix of path at a host, or nil.
func (x queueIndex) find(host, path string) *Queue {
	var best *Queue
	for _, q := range x.byHost[host] {
		if len(path) >= len(q.Prefix) && path[:len(q.Prefix)] == q.Prefix && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}
