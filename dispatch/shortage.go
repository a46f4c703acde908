package dispatch

import (
	"github.com/oleanderchute/oleanderchute/job"
	"github.com/oleanderchute/oleanderchute/shortage"
)

// rankByCost ranks the steps such that the callers of the jobs that wait longer lose least.
func rankByCost(steps []*readyStep) {
	for _, r := range steps {
		r.rank = r.demand.Rank()
	}
}

// demandOf returns the work of an occurrence of a job, of which a step with a number of waiting tasks
// is ready. Steps that other steps precede count as not started; o is nil before the first claim.
func demandOf(spec *job.Spec, o *job.Occurrence, ready, waiting int) shortage.Demand {
	var d shortage.Demand
	for i := range spec.Steps {
		step := &spec.Steps[i]
		perTask := float64(step.Allocation().MilliCPU) * float64(step.EstimateMillis)
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
