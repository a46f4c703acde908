package dispatch

import "time"

// learnedClaims holds when this replica, leading or not, learned of the newest claims. Their starts may have
// been sent at that time by the leader of then, of whose reports a later leader knows nothing.
type learnedClaims struct {
	at         map[claimKey]time.Duration
	order      []claimKey    // the keys of at, the oldest first
	restoredAt time.Duration // when the newest snapshot was restored, with claims of unknown age
}

// add records a claim and forgets those that are older than retention.
func (l *learnedClaims) add(now time.Duration, key claimKey, retention time.Duration) {
	if l.at == nil {
		l.at = map[claimKey]time.Duration{}
	}
	for len(l.order) > 0 && now-l.at[l.order[0]] > retention {
		delete(l.at, l.order[0])
		l.order = l.order[1:]
	}
	if _, known := l.at[key]; !known {
		l.at[key] = now
		l.order = append(l.order, key)
	}
}

// claimedAt returns when this replica learned of a claim, or the time of the snapshot that may have had it.
func (l *learnedClaims) claimedAt(key claimKey) time.Duration {
	if at, known := l.at[key]; known {
		return at
	}
	return l.restoredAt
}
