package dispatch

import (
	"github.com/oleanderchute/oleanderchute/job"
	"github.com/oleanderchute/oleanderchute/shortage"
)

// rankByCost ranks the steps such that the callers of the jobs that wait longer lose least. A gang starts
// as a whole, and its rank is that of a job that has not started, whatever its size: gangs that are ranked
// by size take the capacity that wider ones wait for.
func (s *Scheduler) rankByCost(steps []*readyStep) {
	for _, r := range steps {
		if r.rank = 1; !r.step.Gang {
			r.rank = r.demand.Rank(s.meanWorkOf(r.job.Queue.Name).Mean)
		}
	}
}

// meanWorkOf returns the mean work of the jobs of a queue.
func (s *Scheduler) meanWorkOf(queue string) *shortage.MeanWork {
	m := s.meanWork[queue]
	if m == nil {
		m = &shortage.MeanWork{}
		s.meanWork[queue] = m
	}
	return m
}

// countWork adds a job to the mean work of its queue.
func (s *Scheduler) countWork(j *job.Job) {
	if j != nil {
		s.meanWorkOf(j.Queue.Name).Add(demandOf(&j.Spec, nil, 0, 0).Total)
	}
}

// demandOf returns the work of an occurrence of a job, of which a step with a number of waiting tasks
// is ready. Steps that other steps precede count as not started; o is nil before the first claim.
func demandOf(spec *job.Spec, o *job.Occurrence, ready, waiting int) shortage.Demand {
	var d shortage.Demand
	for i := range spec.Steps {
		step := &spec.Steps[i]
		perTask := float64(step.Allocation().MilliCPU) * float64(max(step.EstimateMillis, 0))
		d.Total += perTask * float64(step.Count)
		switch {
		case i == ready:
			d.Left += perTask * float64(waiting)
		case i > ready && (o == nil || !o.Steps[i].Finished()):
			d.Left += perTask * float64(step.Count)
		}
	}
	return d
}
