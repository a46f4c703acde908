package dispatch

import "github.com/oleanderchute/oleanderchute/job"

// headroomPart is the room that is kept free for the most urgent work of a pool, as a part of
// what it uses: work arrives unevenly, and the runs of others last for seconds.
const headroomFraction = 0.3

// share is the work of one priority in one pool.
type poolPriority struct {
	pool     string
	priority int
}

// shareOf returns the share of a job's work on a pool's workers. The work of a job that is not
// known any more is the least urgent.
func (s *Scheduler) poolPriorityOf(id job.ID, pool string) poolPriority {
	if j := s.state.Job(id); j != nil {
		return poolPriority{pool, j.Queue.Priority}
	}
	return poolPriority{pool, lowestPriority}
}

const lowestPriority = 1 << 30

// keepHeadroom computes what less urgent work may take of the idle processors in this pass.
func (s *Scheduler) computeHeadroom() {
	if version := s.state.Config().Version; s.topPriority == nil || version != s.topPriorityVersion {
		s.topPriority, s.topPriorityVersion = topPriorities(s.state.Config().Queues), version
	}
	s.cpuBeyondHeadroom = map[string]int64{}
	for pool, idle := range s.idleCPU {
		s.cpuBeyondHeadroom[pool] = idle - int64(headroomFraction*float64(s.allocatedCPU[poolPriority{pool, s.topPriority[pool]}]))
	}
}

// mostUrgent returns the priority of the most urgent queue of each pool.
func topPriorities(queues []job.Queue) map[string]int {
	top := map[string]int{}
	for _, q := range queues {
		if p, known := top[q.Pool]; !known || q.Priority < p {
			top[q.Pool] = q.Priority
		}
	}
	return top
}

// mayStart returns how many of the waiting tasks of a step may start within the headroom that
// is kept for more urgent work. Gangs are not held back, since they book their room.
func (s *Scheduler) startLimit(r *readyStep) int {
	cpu := r.step.Allocation().MilliCPU
	if r.step.Gang || cpu == 0 || r.job.Queue.Priority <= s.topPriority[r.pool] {
		return len(r.waiting)
	}
	return int(min(max(s.cpuBeyondHeadroom[r.pool]/cpu, 0), int64(len(r.waiting))))
}
