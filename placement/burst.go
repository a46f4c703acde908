package placement

// burstDivisor bounds the urgent work that runs beyond its team's fair share (burst) to
// 1/burstDivisor of the other teams' fair shares. That is 3%, less than the 5% that they
// may lose.
const burstDivisor = 32

// canBurst reports whether e, whose class has priority, may start ahead of other work
// although its team is at or above its fair share. The team may stay above its share for
// as long as its large tasks run, which is longer than urgent work may wait.
func (p *pool) canBurst(e *entry) bool {
	burst := p.burst
	burst.add(e.totalDemand())
	return burst.dominantShare(&p.capacity)*burstDivisor <= 1-e.subqueue.class.team.fairShare()
}

// isBurst reports whether e, if started now, counts against the burst limit.
func (e *entry) isBurst() bool {
	return e.subqueue.class.hasPriority() && e.subqueue.class.team.isBorrowing()
}
