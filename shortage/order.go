// Package shortage decides what happens when a pool has too little capacity for its jobs: in which
// order waiting steps get capacity, and which jobs are rejected at admission. It has no input,
// output or clock.
package shortage

// smallFraction is the work below which a job counts as small, as a fraction of the mean work of the jobs
// of its queue. With widths that are spread like an exponential distribution, a fifth of the jobs are
// small, and they have a fortieth of the work, so the other jobs wait little for them. With one half
// instead, the largest tenth was served less than 0.8 times as often as its queue.
const smallFraction = 0.25

// Demand is the estimated work of one occurrence of a job, in thousandths of a core times
// milliseconds.
type Demand struct {
	Left  float64 // of the tasks that have not started
	Total float64
}

// Rank returns the rank of a job's steps among steps of the same lateness and priority, from 0 to 1. Steps
// with a lower rank go first. The rank is the fraction of the job's work that has not started, since the
// capacity that a job has used is wasted if the rest is not done in time. It is lower for a small job that
// has not started, since that job costs the others little. Above that size it does not depend on the size,
// so large jobs that have not started go by their deadlines. mean is the mean work of the jobs of the
// queue, 0 if it is not known.
func (d Demand) Rank(mean float64) float64 {
	if d.Total <= 0 {
		return 1 // not known
	}
	rank := min(max(d.Left/d.Total, 0), 1)
	if small := smallFraction * mean; d.Total < small {
		rank *= d.Total / small
	}
	return rank
}

// meanWindow is the number of jobs over which MeanWork averages, so that it follows a load that changes.
const meanWindow = 256

// MeanWork is the mean work of the newest jobs of a queue.
type MeanWork struct {
	Mean  float64
	count float64
}

// maxCountedWork limits what one job counts, as a multiple of the mean, once minJobs are counted. Without it, one
// job with an absurd estimate would make all others small, and small jobs go by their size.
const (
	maxCountedWork = 8
	minJobs        = 16
)

// Add adds a job.
func (m *MeanWork) Add(work float64) {
	if m.count >= minJobs {
		work = min(work, maxCountedWork*m.Mean)
	}
	m.count = min(m.count+1, meanWindow)
	m.Mean += (work - m.Mean) / m.count
}
