package dispatch

import "github.com/oleanderchute/oleanderchute/job"

// headroomFraction is the processor capacity that is kept free for the most urgent work of a
// pool, as a fraction of what that work has allocated: work arrives unevenly, and other runs
// last for seconds.
const headroomFraction = 0.3

// poolPriority identifies the tasks of one priority in one pool.
type poolPriority struct {
	pool     string
	priority int
}

// poolPriorityOf returns the pool and priority of a job's runs on a pool's workers. Runs of a job
// that is no longer known have the lowest priority.
func (s *Scheduler) poolPriorityOf(id job.ID, pool string) poolPriority {
	if j := s.state.Job(id); j != nil {
		return poolPriority{pool, j.Queue.Priority}
	}
	return poolPriority{pool, lowestPriority}
}

// lowestPriority is less urgent than the priority of any queue.
const lowestPriority = 1 << 30

// computeHeadroom computes how much of each pool's idle processors work below the top priority
// may take in this pass.
func (s *Scheduler) computeHeadroom() {
	s.cpuBeyondHeadroom = map[string]int64{}
	for pool, idle := range s.idleCPU {
		s.cpuBeyondHeadroom[pool] = idle - int64(headroomFraction*float64(s.allocatedCPU[poolPriority{pool, s.topPriority[pool]}]))
	}
}

// updateTopPriority takes the priority of the most urgent queue of each pool from the newest
// configuration.
func (s *Scheduler) updateTopPriority() {
	if config := s.state.Config(); config != s.topPriorityConfig {
		s.topPriority, s.topPriorityConfig = topPriorities(config.Queues), config
	}
}

// topPriorities returns the priority of the most urgent queue of each pool.
func topPriorities(queues []job.Queue) map[string]int {
	top := map[string]int{}
	for _, q := range queues {
		if p, known := top[q.Pool]; !known || q.Priority < p {
			top[q.Pool] = q.Priority
		}
	}
	return top
}

// startLimit returns how many of the waiting tasks of a step may start without taking the
// headroom that is kept for more urgent work. Gangs are not limited, since they reserve their
// capacity.
func (s *Scheduler) startLimit(r *readyStep) int {
	cpu := r.step.Allocation().MilliCPU
	if r.step.Gang || cpu == 0 || r.job.Queue.Priority <= s.topPriority[r.pool] {
		return len(r.waiting)
	}
	return int(min(max(s.cpuBeyondHeadroom[r.pool]/cpu, 0), int64(len(r.waiting))))
}
