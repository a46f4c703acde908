package dispatch

import "github.com/oleanderchute/oleanderchute/job"

// headroomPart is the room that is kept free for the most urgent work of a pool, as a part of
// what it uses: work arrives unevenly, and the runs of others last for seconds.
const headroomPart = 0.3

// share is the work of one priority in one pool.
type share struct {
	pool     string
	priority int
}

// shareOf returns the share of a job's work on a pool's workers. The work of a job that is not
// known any more is the least urgent.
func (s *Scheduler) shareOf(id job.ID, pool string) share {
	if j := s.state.Job(id); j != nil {
		return share{pool, j.Queue.Priority}
	}
	return share{pool, leastUrgent}
}

const leastUrgent = 1 << 30

// keepHeadroom computes what less urgent work may take of the idle processors in this pass.
func (s *Scheduler) keepHeadroom() {
	if version := s.state.Config().Version; s.urgent == nil || version != s.urgentVersion {
		s.urgent, s.urgentVersion = mostUrgent(s.state.Config().Queues), version
	}
	s.spare = map[string]int64{}
	for pool, idle := range s.idle {
		s.spare[pool] = idle - int64(headroomPart*float64(s.inUse[share{pool, s.urgent[pool]}]))
	}
}

// mostUrgent returns the priority of the most urgent queue of each pool.
func mostUrgent(queues []job.Queue) map[string]int {
	urgent := map[string]int{}
	for _, q := range queues {
		if p, known := urgent[q.Pool]; !known || q.Priority < p {
			urgent[q.Pool] = q.Priority
		}
	}
	return urgent
}

// mayStart returns how many of the waiting tasks of a step may start within the headroom that
// is kept for more urgent work. Gangs are not held back, since they book their room.
func (s *Scheduler) mayStart(r *readyStep) int {
	cpu := r.step.Allocation().MilliCPU
	if r.step.Gang || cpu == 0 || r.job.Queue.Priority <= s.urgent[r.pool] {
		return len(r.waiting)
	}
	return int(min(max(s.spare[r.pool]/cpu, 0), int64(len(r.waiting))))
}
