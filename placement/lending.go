package placement

// isBorrowing reports whether t uses at least its fair share. What it starts beyond that
// is lent by teams that do not use all of theirs.
func (t *team) isBorrowing() bool { return t.dominantShare() >= t.fairShare() }

// updateLending pauses lending while workers are held for work of a team below its fair
// share: that work is blocked, and capacity lent in the meantime would be taken from it.
// Borrowers may still backfill held workers and start urgent work with priority. The
// pause is bounded: a hold lasts at most maxHoldDuration, and after it has expired, the
// next hold for the same item starts minHoldDuration later at the earliest.
func (p *pool) updateLending() {
	p.lendingPaused = false
	for _, h := range p.holds {
		if !h.entry.subqueue.class.team.isBorrowing() {
			p.lendingPaused = true
			return
		}
	}
}
