package partition

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// retentionQueue lists records with an outcome by the time at which they are dropped.
// All entries have the same retention, so the order of insertion is the order of time.
type retentionQueue struct {
	entries []retained
}

type retained struct {
	key api.RequestKey
	at  time.Duration
}

func (q *retentionQueue) add(key api.RequestKey, at time.Duration) {
	q.entries = append(q.entries, retained{key, at})
}

// due removes and returns at most max keys whose retention has ended.
func (q *retentionQueue) due(now time.Duration, max int) []api.RequestKey {
	var keys []api.RequestKey
	for len(q.entries) > 0 && len(keys) < max && q.entries[0].at <= now {
		keys = append(keys, q.entries[0].key)
		q.entries = q.entries[1:]
	}
	return keys
}

// expire proposes to drop records whose retention has ended on the owner's clock. A new
// owner counts from its start, so a record is kept longer then, never shorter.
func (o *owner) expire(now time.Duration) {
	if keys := o.finished.due(now, expireBatch); len(keys) > 0 {
		o.propose(command{Expire: &expireCommand{Keys: keys}})
	}
	keys := o.unknown.due(now, expireBatch)
	if len(keys) == 0 {
		return
	}
	dropped := keys[:0]
	for _, key := range keys {
		l := o.live[key]
		if l == nil || l.rec.State != api.StateUnknown {
			continue // it has been resolved since
		}
		if l.ending() {
			o.unknown.add(key, now+unknownRetention)
			continue
		}
		o.forgetUnknown(now, l)
		dropped = append(dropped, key)
	}
	if len(dropped) > 0 {
		o.propose(command{Expire: &expireCommand{Keys: dropped, Unknown: true}})
	}
}

// ending reports whether the end of an attempt is being committed.
func (l *liveRequest) ending() bool {
	for _, a := range l.attempts {
		if a.ending {
			return true
		}
	}
	return false
}

// forgetUnknown drops the soft state of an unknown request.
func (o *owner) forgetUnknown(now time.Duration, l *liveRequest) {
	for _, a := range append([]*attempt(nil), l.attempts...) {
		o.dropAttempt(now, a)
	}
	delete(o.live, l.key)
}
