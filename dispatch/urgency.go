package dispatch

import "cmp"

const (
	// worthlessFactor times its objective is the time after which the result of a job is worth
	// nothing to its caller.
	worthlessFactor = 3
	// estimateFactor times the estimate of the remaining work is the time that a job needs to be
	// expected to meet its deadline. Estimates are off by half or more, so most jobs that start
	// with less time left are late.
	estimateFactor = 1.2
)

// urgency holds the properties of a step that decide in which order steps get capacity.
type urgency struct {
	priority int // priority of the queue
	// releasedMillis is the Unix time in milliseconds at which the job was accepted or its
	// occurrence was due to start, whichever is later; deadlineMillis is when it should be done.
	releasedMillis, deadlineMillis int64
	remainingMillis                int64 // estimated duration of the critical path from this step on
	// overShare is set, in a configuration with accounts, if the account uses more of the pool than
	// it is entitled to.
	overShare bool
}

// lateness says whether a job can still meet its deadline.
type lateness uint8

const (
	inTime    lateness = iota // expected to meet its deadline
	late                      // will probably miss its deadline
	worthless                 // so late that its result is worth nothing to its caller
)

// String returns the lateness as it appears in logs.
func (l lateness) String() string { return [...]string{"in time", "late", "worthless"}[l] }

// latenessAt returns the lateness at a Unix time in milliseconds.
func (u urgency) latenessAt(wallMillis int64) lateness {
	switch {
	case u.deadlineMillis-wallMillis >= int64(estimateFactor*float64(u.remainingMillis)):
		return inTime
	case u.worthlessMillis() >= wallMillis:
		return late
	}
	return worthless
}

// worthlessMillis returns the Unix time in milliseconds after which the result is worth nothing.
func (u urgency) worthlessMillis() int64 {
	return u.deadlineMillis + (worthlessFactor-1)*(u.deadlineMillis-u.releasedMillis)
}

// compareAt orders steps at a Unix time in milliseconds: by lateness, priority and deadline. A
// late step comes after all that can be in time, whatever its priority, since it would make
// those late as well.
func (u urgency) compareAt(other urgency, wallMillis int64) int {
	return cmp.Or(cmp.Compare(u.latenessAt(wallMillis), other.latenessAt(wallMillis)), u.compareInTime(other))
}

// compareInTime orders steps of the same lateness by the account's share, priority and deadline.
func (u urgency) compareInTime(other urgency) int {
	return cmp.Or(boolToInt(u.overShare)-boolToInt(other.overShare), cmp.Compare(u.priority, other.priority), cmp.Compare(u.deadlineMillis, other.deadlineMillis))
}
