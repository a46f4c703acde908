// Package shortage decides what happens when a pool has too little capacity for its jobs: in which
// order waiting steps get capacity, and which jobs are rejected at admission. It has no input,
// output, clock or state of its own.
package shortage

// Demand is the estimated work of one occurrence of a job, in thousandths of a core times
// milliseconds.
type Demand struct {
	Left  float64 // of the tasks that have not started
	Total float64
}

// Rank returns the rank of a job's steps among steps of the same lateness and priority: the fraction
// of the job's work that has not started. Steps with a lower rank go first, since the capacity that a
// job has used is wasted if the rest of it is not done in time. The fraction does not depend on the
// size of the job, so small jobs do not displace large ones.
func (d Demand) Rank() float64 {
	if d.Total <= 0 {
		return 0
	}
	return d.Left / d.Total
}
