package placement

// isBorrowing reports whether t uses at least its fair share. What it starts beyond that
// is lent by teams that do not use all of theirs.
func (t *team) isBorrowing() bool { return t.dominantShare() >= t.fairShare() }

// updateLending pauses lending while workers are reserved for work of a team below its fair
// share: that work is blocked, and capacity lent in the meantime would be taken from it.
// Borrowers may still backfill reserved workers and start urgent work with priority. The
// pause is bounded: a reservation lasts at most maxReservationDuration, and after it has
// expired, the next one for the same item starts minReservationDuration later at the
// earliest.
func (p *pool) updateLending() {
	p.lendingPaused = false
	for _, r := range p.reservations {
		if !r.entry.subqueue.class.team.isBorrowing() {
			p.lendingPaused = true
			return
		}
	}
}
