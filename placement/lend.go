package placement

// isBorrowing reports whether t uses at least its share, so that what it starts is lent
// to it by teams that do not use theirs.
func (t *team) isBorrowing() bool { return t.share() >= t.owed() }

// renewLending pauses lending while workers are held for work of a team within its
// share: that work has been passed by, and room that is lent meanwhile would be taken
// from it. Borrowers may still backfill held workers and
// start privileged urgent work. The pause is bounded as holds
// are: they last at most holdMax and leave a pause after each failure.
func (p *pool) renewLending() {
	p.lendingPaused = false
	for _, h := range p.holds {
		if !h.entry.lane.class.team.isBorrowing() {
			p.lendingPaused = true
			return
		}
	}
}
