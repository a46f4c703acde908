package partition

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// retentionQueue lists records with an outcome in the order in which their retention ends.
// All entries of a queue have the same retention, so this is the order of insertion.
type retentionQueue struct {
	entries []retentionEntry
}

// retentionEntry is a record and the end of its retention.
type retentionEntry struct {
	key       api.RequestKey
	expiresAt time.Duration
}

func (q *retentionQueue) add(key api.RequestKey, at time.Duration) {
	q.entries = append(q.entries, retentionEntry{key, at})
}

// popExpired removes and returns at most limit keys whose retention has ended.
func (q *retentionQueue) popExpired(now time.Duration, limit int) []api.RequestKey {
	var keys []api.RequestKey
	for len(q.entries) > 0 && len(keys) < limit && q.entries[0].expiresAt <= now {
		keys = append(keys, q.entries[0].key)
		q.entries = q.entries[1:]
	}
	return keys
}

// expire proposes to delete records whose retention has ended on the owner's clock. A new
// owner measures the retention from the start of its ownership, so a change of owner can only
// lengthen it.
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
			continue // resolved in the meantime
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

// hasProposedEnd reports whether the end of an attempt is being committed.
func (l *liveRequest) hasProposedEnd() bool {
	for _, a := range l.attempts {
		if a.endProposed {
			return true
		}
	}
	return false
}

// removeUnknown removes the soft state of a request in state unknown.
func (o *owner) removeUnknown(now time.Duration, l *liveRequest) {
	for _, a := range append([]*attempt(nil), l.attempts...) {
		o.removeAttempt(now, a)
	}
	delete(o.requests, l.key)
}
