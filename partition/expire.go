package partition

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// retentionQueue lists records with an outcome by the time at which they are dropped.
// All entries have the same retention, so the order of insertion is the order of time.
type retentionQueue struct {
	entries []retentionEntry
}

type retentionEntry struct {
	key       api.RequestKey
	expiresAt time.Duration
}

func (q *retentionQueue) add(key api.RequestKey, at time.Duration) {
	q.entries = append(q.entries, retentionEntry{key, at})
}

// due removes and returns at most max keys whose retention has ended.
func (q *retentionQueue) popExpired(now time.Duration, limit int) []api.RequestKey {
	var keys []api.RequestKey
	for len(q.entries) > 0 && len(keys) < limit && q.entries[0].expiresAt <= now {
		keys = append(keys, q.entries[0].key)
		q.entries = q.entries[1:]
	}
	return keys
}

// expire proposes to drop records whose retention has ended on the owner's clock. A new
// owner counts from its start, so a record is kept longer then, never shorter.
func (o *owner) expire(now time.Duration) {
	if keys := o.finished.popExpired(now, maxExpireKeys); len(keys) > 0 {
		o.propose(command{Expire: &expireCommand{Keys: keys}})
	}
	keys := o.unknown.popExpired(now, maxExpireKeys)
	if len(keys) == 0 {
		return
	}
	dropped := keys[:0]
	for _, key := range keys {
		l := o.requests[key]
		if l == nil || l.rec.State != api.StateUnknown {
			continue // it has been resolved since
		}
		if l.hasProposedEnd() {
			o.unknown.add(key, now+unknownRetention)
			continue
		}
		o.removeUnknown(now, l)
		dropped = append(dropped, key)
	}
	if len(dropped) > 0 {
		o.propose(command{Expire: &expireCommand{Keys: dropped, Unknown: true}})
	}
}

// ending reports whether the end of an attempt is being committed.
func (l *liveRequest) hasProposedEnd() bool {
	for _, a := range l.attempts {
		if a.endProposed {
			return true
		}
	}
	return false
}

// forgetUnknown drops the soft state of an unknown request.
func (o *owner) removeUnknown(now time.Duration, l *liveRequest) {
	for _, a := range append([]*attempt(nil), l.attempts...) {
		o.removeAttempt(now, a)
	}
	delete(o.requests, l.key)
}
