package placement

import (
	"math"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// The classes in the order of their urgency.
const (
	classUrgent = iota
	classNormal
	classLow
	classCount
)

// classWeights divide a team's share among its classes that have work: 60, 30 and 10%
// when all three have. Urgent work gets the largest part, and a flood of it still
// leaves the others theirs.
var classWeights = [classCount]float64{6, 3, 1}

func classIndex(c api.Class) int {
	switch c {
	case api.ClassUrgent:
		return classUrgent
	case api.ClassLow:
		return classLow
	default:
		return classNormal
	}
}

// team holds the work of one team in one pool. Its share is weighted dominant-resource
// fairness over what is running: among the teams with work to place, the next start
// goes to the one whose largest fraction of the pool, divided by its weight, is lowest.
// Share that a team does not use is lent in this way, and it comes back as tasks end:
// with n tasks running that last r on average, at n/r tasks a second.
type team struct {
	name    string
	pool    *pool
	classes [classCount]*classQueue
	used    vector
	weight  float64
	quota   vector // -1 in a dimension without a bound

	active   bool
	position int // in pool.active
	sequence uint64
}

// classQueue holds the queued work and the account of one class of a team.
type classQueue struct {
	team   *team
	index  int
	lanes  []*lane
	queued int
	jobs   int // with reservations
	used   vector

	completed    float64 // requests, decayed by completionDecay
	completedAt  time.Duration
	queuedWork   float64       // sum over the queued items
	backlogSince time.Duration // the queue has had work since
}

func (p *pool) teamOf(name string) *team {
	if t := p.teams[name]; t != nil {
		return t
	}
	t := &team{name: name, pool: p}
	for i := range t.classes {
		t.classes[i] = &classQueue{team: t, index: i}
	}
	t.applyTables()
	p.teams[name] = t
	return t
}

// applyTables takes the weight and quota from the pool's tables.
func (t *team) applyTables() {
	t.weight = 1
	if w := t.pool.shares[t.name]; w > 0 {
		t.weight = float64(w)
	}
	t.quota = nothing
	if q, ok := t.pool.quotas[t.name]; ok {
		for d, v := range [...]int64{q.MilliCPU, q.MemoryMB, q.Accelerators} {
			if v > 0 {
				t.quota[d] = v
			}
		}
	}
}

func (t *team) classOf(c api.Class) *classQueue { return t.classes[classIndex(c)] }

// activate counts t among the teams that share the pool.
func (t *team) activate() {
	if t.active {
		return
	}
	p := t.pool
	p.sequence++
	t.active, t.position, t.sequence = true, len(p.active), p.sequence
	p.active = append(p.active, t)
	p.activeWeight += t.weight
}

// retireIfIdle takes t out of the teams that share the pool once it has no work.
func (t *team) retireIfIdle() {
	for _, q := range t.classes {
		if q.queued > 0 || q.jobs > 0 {
			return
		}
	}
	if !t.active {
		return
	}
	p := t.pool
	last := len(p.active) - 1
	p.active[t.position] = p.active[last]
	p.active[t.position].position = t.position
	p.active = p.active[:last]
	t.active = false
	p.activeWeight -= t.weight
	p.forgetIdleTeams()
}

// owed is the fraction of the pool that t may claim while all active teams want theirs.
func (t *team) owed() float64 {
	total := t.pool.activeWeight
	if !t.active {
		total += t.weight
	}
	return t.weight / total
}

// share is the fraction of the pool that t uses in its dominant dimension.
func (t *team) share() float64 { return t.used.dominant(&t.pool.capacity) }

// exceedsQuota returns the first dimension in which t would pass its quota, or -1.
func (t *team) exceedsQuota(more vector) int {
	for d, bound := range t.quota {
		if bound >= 0 && more[d] > 0 && t.used[d]+more[d] > bound {
			return d
		}
	}
	return -1
}

// noteReleased lets lanes that waited for the quota try again.
func (t *team) noteReleased() {
	if t.quota == nothing {
		return
	}
	t.unblockAll()
}

func (t *team) unblockAll() {
	for _, q := range t.classes {
		for _, l := range q.lanes {
			l.unblock()
		}
	}
}

// share is the fraction of the pool that the class uses in its dominant dimension.
func (q *classQueue) share() float64 { return q.used.dominant(&q.team.pool.capacity) }

// owed is the fraction of the pool owed to the class while the team's other classes
// with work want theirs.
func (q *classQueue) owed() float64 {
	total := classWeights[q.index]
	for i, other := range q.team.classes {
		if i != q.index && (other.queued > 0 || other.jobs > 0) {
			total += classWeights[i]
		}
	}
	return q.team.owed() * classWeights[q.index] / total
}

// readyHead returns the earliest head of a lane that may be tried, or nil.
func (q *classQueue) readyHead(now time.Duration) *entry {
	var first *entry
	for _, l := range q.lanes {
		if (first == nil || l.head.sequence < first.sequence) && l.isReady(now) {
			first = l.head
		}
	}
	return first
}

// nextHead returns the entry that t should start next and its rank; nil if none is ready.
func (t *team) nextHead(now time.Duration) (*entry, rank) {
	urgent := t.classes[classUrgent]
	if e := urgent.readyHead(now); e != nil && urgent.isPrivileged() && (!t.isBorrowing() || t.pool.mayUseCredit(e)) {
		return e, rank{urgent: true, key: urgent.share() / t.weight, sequence: t.sequence}
	}
	var best *entry
	lowest := math.Inf(1)
	for i, q := range t.classes {
		e := q.readyHead(now)
		if e == nil {
			continue
		}
		if key := q.share() / classWeights[i]; best == nil || key < lowest {
			best, lowest = e, key
		}
	}
	return best, rank{key: t.share() / t.weight, sequence: t.sequence}
}

// isPrivileged reports whether the class is urgent and uses less than the urgent part of
// the team's share. Such work may use headroom, and it starts ahead of other work while
// the team as a whole is below its share or on credit. The part bounds how far a flood of urgent
// work goes before it competes by share like any other work.
func (q *classQueue) isPrivileged() bool {
	part := classWeights[classUrgent] / (classWeights[classUrgent] + classWeights[classNormal] + classWeights[classLow])
	return q.index == classUrgent && q.share() < part*q.team.owed()
}

// rank orders the teams for the next start; the lowest comes first.
type rank struct {
	urgent   bool
	key      float64
	sequence uint64
}

func (r rank) before(o rank) bool {
	if r.urgent != o.urgent {
		return r.urgent
	}
	if r.key != o.key {
		return r.key < o.key
	}
	return r.sequence < o.sequence
}
