package placement

// creditFraction bounds the urgent work that runs on credit, so that it takes at most
// one in this many parts of the share of the other teams. That is 3%, less than the 5%
// that they may lose.
const creditFraction = 32

// mayUseCredit reports whether e, which is privileged, may start ahead of other work
// although its team is above its share. The team is above it for as long as its large
// tasks run, which is longer than urgent work may wait.
func (p *pool) mayUseCredit(e *entry) bool {
	credit := p.credit
	credit.add(e.total())
	return credit.dominant(&p.capacity)*creditFraction <= 1-e.lane.class.team.owed()
}

// takesCredit reports whether e, which starts now, runs on credit.
func (e *entry) takesCredit() bool {
	return e.lane.class.isPrivileged() && e.lane.class.team.isBorrowing()
}
