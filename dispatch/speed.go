package dispatch

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

const (
	// speedPriorRuns is the weight of the prior, that a worker has the speed 1, in runs. The spread
	// of the tasks of a step is 15 to 30%, so after a few runs their mean says more than the prior.
	speedPriorRuns = 1
	// speedMinGain is the least weight of a new run, so that older runs count less and less and a
	// worker whose speed changes is known again after about 20 runs.
	speedMinGain = 0.05
	// maxSpeedStep limits what one run can say, as a logarithm: a run that differs more from what
	// is expected counts as one that differs by a factor of 1.5. An outlier then moves a known
	// speed by 2%.
	maxSpeedStep = 0.4
	// minSpeed and maxSpeed bound the learned speeds.
	minSpeed, maxSpeed = 0.4, 2.5
	// minSamplesOfStep is the least number of runs of a step that are compared with each other.
	// With two, the slower of them cannot be told from a longer task.
	minSamplesOfStep = 3
	// maxSamplesOfStep limits the runs of one step that are kept. When so many have ended, they are
	// compared with each other without waiting for the rest.
	maxSamplesOfStep = 64
	// maxSampledSteps limits the steps for which ended runs are kept; see maxSamplesOfStep.
	maxSampledSteps = 2048
	// knownSpeedRuns is the number of runs from which on a speed counts as known.
	knownSpeedRuns = 8
	// notableSpeed is the difference from the nominal speed, as a logarithm, from which on a known
	// speed is logged.
	notableSpeed = 0.1
	// ratioMinGain is the least weight of a new step in the ratio of a queue, and maxRatioStep
	// limits what one step can say, as a logarithm: a job that takes seven times its estimate
	// counts as one that takes 2.7 times.
	ratioMinGain = 0.02
	maxRatioStep = 1
	// minRatio and maxRatio bound the learned ratios.
	minRatio, maxRatio = 0.25, 4
)

// average is a moving average of logarithms that starts from a prior of 0. It has the weight of
// all samples at first, and of the newest 1/minGain later.
type average struct {
	value float64
	n     int // samples, up to the number at which the gain is least
}

// add adds a sample. It limits its difference from the average to maxStep.
func (a *average) add(sample, prior, minGain, maxStep float64) {
	gain := 1 / (prior + float64(a.n) + 1)
	if gain > minGain {
		a.n++
	}
	a.value += max(gain, minGain) * min(max(sample-a.value, -maxStep), maxStep)
}

// workerSpeed is what is known about the speed of one worker incarnation, relative to the geometric
// mean of its pool.
type workerSpeed struct {
	log      average // logarithm of the speed
	runs     int     // runs it was learned from
	isLogged bool    // it was logged that the speed is known to differ from 1
}

// value returns the speed, 1 if nothing is known.
func (v *workerSpeed) value() float64 { return math.Exp(v.log.value) }

// add adds a run that was faster than expected by a difference of logarithms.
func (v *workerSpeed) add(difference float64) {
	v.runs++
	v.log.add(v.log.value+difference, speedPriorRuns, speedMinGain, maxSpeedStep)
	v.limit()
}

// limit keeps the speed between minSpeed and maxSpeed.
func (v *workerSpeed) limit() {
	v.log.value = min(max(v.log.value, math.Log(minSpeed)), math.Log(maxSpeed))
}

// isNotable reports whether the speed is known and differs from the mean.
func (v *workerSpeed) isNotable() bool {
	return v.runs >= knownSpeedRuns && math.Abs(v.log.value) >= notableSpeed
}

// speedSample is the duration of a done run on a worker.
type speedSample struct {
	w    *worker
	took time.Duration
}

// stepSamples holds the done runs of a step that is not finished.
type stepSamples struct {
	queue          string
	estimateMillis int64
	isGang         bool
	runs           []speedSample
}

// speeds learns how fast workers are and how long runs take relative to their estimates. The tasks
// of a step have about the same work, so a run is compared with the others of its step. They are
// compared when the step is finished, since the first ends alone are those of the fastest workers
// and the shortest tasks.
type speeds struct {
	samples map[job.StepRef]*stepSamples
	ratios  map[string]*average // by queue, the logarithm of run times at speed 1 to estimates
	spread  SpeedSpread         // of the known speeds, when they were last centered
}

func newSpeeds() speeds {
	return speeds{samples: map[job.StepRef]*stepSamples{}, ratios: map[string]*average{}}
}

// addRun adds a done run of a step.
func (v *speeds) addRun(ref job.StepRef, queue string, step *job.Step, sample speedSample) {
	samples := v.samples[ref]
	if samples == nil {
		if len(v.samples) >= maxSampledSteps {
			return
		}
		samples = &stepSamples{queue: queue, estimateMillis: step.EstimateMillis, isGang: step.Gang && step.Count > 1}
		v.samples[ref] = samples
	}
	if samples.runs = append(samples.runs, sample); len(samples.runs) >= maxSamplesOfStep && !samples.isGang {
		v.learn(samples)
		samples.runs = samples.runs[:0]
	}
}

// finishStep learns from the runs of a step that is finished.
func (v *speeds) finishStep(ref job.StepRef) {
	if samples := v.samples[ref]; samples != nil {
		v.learn(samples)
		delete(v.samples, ref)
	}
}

// learn compares runs of a step with each other. The reference is the median of their work, so
// that a few runs that take much longer do not change it. The members of a gang end together, so
// they say nothing about the speed of one worker, and their work is that of the slowest member.
func (v *speeds) learn(samples *stepSamples) {
	if len(samples.runs) == 0 {
		return
	}
	work := make([]float64, 0, len(samples.runs)) // logarithms
	for _, sample := range samples.runs {
		work = append(work, math.Log(sample.took.Seconds())+sample.w.speed.log.value)
	}
	if samples.isGang {
		v.learnRatio(samples.queue, samples.estimateMillis, slices.Min(work))
		return
	}
	reference := median(work)
	if len(work) >= minSamplesOfStep {
		for i, sample := range samples.runs {
			sample.w.speed.add(reference - work[i])
		}
	}
	v.learnRatio(samples.queue, samples.estimateMillis, reference)
}

// learnRatio adds the logarithm of the work of a step, in seconds at speed 1, to the ratio of its
// queue.
func (v *speeds) learnRatio(queue string, estimateMillis int64, work float64) {
	if estimateMillis <= 0 {
		return
	}
	ratio := v.ratios[queue]
	if ratio == nil {
		ratio = &average{}
		v.ratios[queue] = ratio
	}
	ratio.add(work-math.Log(float64(estimateMillis)/1000), speedPriorRuns, ratioMinGain, maxRatioStep)
	ratio.value = min(max(ratio.value, math.Log(minRatio)), math.Log(maxRatio))
}

// median returns the median of numbers.
func median(numbers []float64) float64 {
	sorted := slices.Sorted(slices.Values(numbers))
	middle := len(sorted) / 2
	if len(sorted)%2 == 0 {
		return (sorted[middle-1] + sorted[middle]) / 2
	}
	return sorted[middle]
}

// speedOf returns the learned speed of a worker relative to the mean of its pool; 1 if it is not
// known or ordersByCost is false.
func (s *Scheduler) speedOf(w *worker) float64 {
	if !s.ordersByCost() {
		return 1
	}
	return w.speed.value()
}

// expectedMillis returns how long a task of a queue is expected to take on a worker of speed 1, by
// its estimate and by how long earlier tasks of the queue took relative to theirs.
func (s *Scheduler) expectedMillis(queue string, estimate int64) int64 {
	ratio := s.speeds.ratios[queue]
	if ratio == nil || !s.ordersByCost() {
		return estimate
	}
	return int64(math.Round(float64(estimate) * math.Exp(ratio.value)))
}

// learnFromEnd records a run that its worker reports as done. The report arrives within
// milliseconds of the end, since the worker answers a renewal when a run ends. Runs that resume
// from a checkpoint do not count, nor do those whose start was not confirmed immediately, as the
// time of the start is not known. The first run of a task never resumes.
func (s *Scheduler) learnFromEnd(c *claim) {
	took := s.now - c.confirmedAt
	if !s.ordersByCost() || c.phase != claimRunning || c.startMayArrive || c.key.run != 1 || c.step == nil || c.step.LongRunning || c.step.BestEffortCPU || took <= 0 {
		return
	}
	if j := s.openJob(c.key.task.Job); j != nil {
		s.speeds.addRun(c.key.task.StepRef, j.Queue.Name, c.step, speedSample{c.worker, took})
	}
}

// learnFromStep learns from the runs of a task's step if the step is finished.
func (s *Scheduler) learnFromStep(j *job.Job, ref job.StepRef) {
	if _, step, _ := j.Task(job.TaskRef{StepRef: ref}); step == nil || step.Finished() {
		s.speeds.finishStep(ref)
	}
}

// centerSpeeds divides the learned speeds of each pool by their geometric mean, since runs of one
// step show only how the speeds of workers relate to each other. It drops the runs of jobs that
// have ended otherwise.
func (s *Scheduler) centerSpeeds() {
	maps.DeleteFunc(s.speeds.samples, func(ref job.StepRef, _ *stepSamples) bool { return s.openJob(ref.Job) == nil })
	s.speeds.spread = SpeedSpread{}
	if !s.ordersByCost() {
		return
	}
	type mean struct {
		sum float64
		n   int
	}
	means := map[string]mean{}
	for _, w := range s.sortedWorkers() {
		if m := means[w.info.Pool]; w.speed.log.n > 0 {
			means[w.info.Pool] = mean{m.sum + w.speed.log.value, m.n + 1}
		}
	}
	var known []float64
	for _, w := range s.sortedWorkers() {
		if w.speed.log.n == 0 {
			continue
		}
		w.speed.log.value -= means[w.info.Pool].sum / float64(means[w.info.Pool].n)
		w.speed.limit()
		if w.speed.isNotable() && !w.speed.isLogged {
			w.speed.isLogged = true
			s.record(Decision{Event: "worker speed learned", Worker: w.info.Name, Reason: fmt.Sprintf("%.2f of the mean of its pool, from %d runs", s.speedOf(w), w.speed.runs)})
		}
		if w.speed.runs >= knownSpeedRuns {
			known = append(known, s.speedOf(w))
		}
	}
	if len(known) > 0 {
		s.speeds.spread = SpeedSpread{Slowest: slices.Min(known), Median: median(known), Fastest: slices.Max(known)}
	}
}
