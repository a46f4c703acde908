package placement

import (
	"math"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/fairshare"
)

// The classes in descending order of priority.
const (
	classUrgent = iota
	classNormal
	classLow
	classCount
)

// classWeights divide a team's fair share among those of its classes that have work: 60,
// 30 and 10% if all three do. Urgent work gets the largest part, and a flood of it still
// leaves the other classes their parts.
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

// team holds the work of one team in one pool. Teams share the pool by weighted dominant
// resource fairness over what is running: among the teams with ready work, the next start
// goes to the one with the lowest dominant share divided by its weight. A share that a
// team does not use is thereby lent to others, and is returned as their tasks end: with n
// running tasks that last r seconds on average, at n/r tasks per second.
type team struct {
	name    string
	pool    *pool
	classes [classCount]*classQueue
	used    vector
	weight  float64
	quota   vector // -1 in a dimension without a quota

	active     bool
	position   int    // index in pool.active
	activation uint64 // value of pool.activations when t was last activated
}

// classQueue holds the queued work and the usage of one class of a team.
type classQueue struct {
	team        *team
	index       int // classUrgent, classNormal or classLow
	subqueues   []*subqueue
	queued      int // items in the subqueues
	runningJobs int // jobs of the class with allocations
	used        vector

	recentCompletions float64 // completed requests, decayed with completionHalfLife
	completedAt       time.Duration
	queuedWork        float64       // sum of entry.estimatedWork
	backlogSince      time.Duration // since when the queue has not been empty
}

// teamOf returns the team and creates it if there is none.
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

// applyTables sets the weight and quota from the pool's configuration.
func (t *team) applyTables() {
	t.weight = 1
	if w := t.pool.shares[t.name]; w > 0 {
		t.weight = float64(w)
	}
	t.quota = allMinusOne
	if q, ok := t.pool.quotas[t.name]; ok {
		for d, v := range [...]int64{q.MilliCPU, q.MemoryMB, q.Accelerators} {
			if v > 0 {
				t.quota[d] = v
			}
		}
	}
}

func (t *team) classOf(c api.Class) *classQueue { return t.classes[classIndex(c)] }

// activate adds t to the teams that share the pool, if it is not among them.
func (t *team) activate() {
	if t.active {
		return
	}
	p := t.pool
	p.activations++
	t.active, t.position, t.activation = true, len(p.active), p.activations
	p.active = append(p.active, t)
	p.activeWeight += t.weight
}

// deactivateIfIdle removes t from the teams that share the pool if it has no work.
func (t *team) deactivateIfIdle() {
	for _, q := range t.classes {
		if q.queued > 0 || q.runningJobs > 0 {
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
	p.pruneIdleTeams()
}

// fairShare returns the fraction of the pool that t is entitled to while all active teams
// use theirs.
func (t *team) fairShare() float64 {
	total := t.pool.activeWeight
	if !t.active {
		total += t.weight
	}
	return fairshare.Entitlement(t.weight, total)
}

// dominantShare returns the fraction of the pool that t uses in its dominant dimension.
func (t *team) dominantShare() float64 { return t.used.dominantShare(&t.pool.capacity) }

// exceedsQuota returns the first dimension in which t would exceed its quota if its usage
// grew by more, or -1.
func (t *team) exceedsQuota(more vector) int {
	return fairshare.FirstExceeded(t.used[:], more[:], t.quota[:], 1)
}

// unblockForQuota unblocks the subqueues of t after a release if t has a quota, since they
// may have been blocked by it.
func (t *team) unblockForQuota() {
	if t.quota == allMinusOne {
		return
	}
	t.unblockAll()
}

func (t *team) unblockAll() {
	for _, q := range t.classes {
		for _, sq := range q.subqueues {
			sq.unblock()
		}
	}
}

// dominantShare returns the fraction of the pool that the class uses in its dominant
// dimension.
func (q *classQueue) dominantShare() float64 { return q.used.dominantShare(&q.team.pool.capacity) }

// fairShare returns the fraction of the pool that the class is entitled to while the
// team's other classes with work use theirs.
func (q *classQueue) fairShare() float64 {
	total := classWeights[q.index]
	for i, other := range q.team.classes {
		if i != q.index && (other.queued > 0 || other.runningJobs > 0) {
			total += classWeights[i]
		}
	}
	return q.team.fairShare() * fairshare.Entitlement(classWeights[q.index], total)
}

// nextReady returns the earliest-queued entry among the ready heads of the subqueues, or
// nil.
func (q *classQueue) nextReady(now time.Duration) *entry {
	var first *entry
	for _, sq := range q.subqueues {
		if (first == nil || sq.head.sequence < first.sequence) && sq.isReady(now) {
			first = sq.head
		}
	}
	return first
}

// nextEntry returns the entry that t should start next and its rank; nil if none is ready.
func (t *team) nextEntry(now time.Duration) (*entry, rank) {
	urgent := t.classes[classUrgent]
	if e := urgent.nextReady(now); e != nil && urgent.hasPriority() && (!t.isBorrowing() || t.pool.canBurst(e)) {
		return e, rank{hasPriority: true, weightedShare: urgent.dominantShare() / t.weight, activation: t.activation}
	}
	var best *entry
	lowest := math.Inf(1)
	for i, q := range t.classes {
		e := q.nextReady(now)
		if e == nil {
			continue
		}
		if weightedShare := q.dominantShare() / classWeights[i]; best == nil || weightedShare < lowest {
			best, lowest = e, weightedShare
		}
	}
	return best, rank{weightedShare: t.dominantShare() / t.weight, activation: t.activation}
}

// hasPriority reports whether the class is urgent and uses less than the urgent part of
// the team's fair share. Such work may use headroom, and it starts ahead of other work
// while the team as a whole is below its fair share or may burst. Beyond that part, urgent
// work competes by share like any other work, which bounds the effect of a flood of it.
func (q *classQueue) hasPriority() bool {
	urgentFraction := classWeights[classUrgent] / (classWeights[classUrgent] + classWeights[classNormal] + classWeights[classLow])
	return q.index == classUrgent && q.dominantShare() < urgentFraction*q.team.fairShare()
}

// rank orders the teams for the next start; the lowest comes first.
type rank struct {
	hasPriority   bool
	weightedShare float64
	activation    uint64 // breaks ties in favor of the team that became active first
}

// before reports whether a team of rank r starts before one of rank o.
func (r rank) before(o rank) bool {
	if r.hasPriority != o.hasPriority {
		return r.hasPriority
	}
	if r.weightedShare != o.weightedShare {
		return r.weightedShare < o.weightedShare
	}
	return r.activation < o.activation
}
