package dispatch

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// setClass makes the learned speed of a worker that of a class.
func (w *worker) setClass(class int) {
	w.speed = workerSpeed{log: average{value: float64(class) * speedClassWidth, n: 20}, runs: 100}
}

// newStepOfUnevenWorkers returns a cluster of 9 workers, three each of the classes -2, 0 and 2, and
// a ready step of a job that is expected to take a second and has timeLeft until its deadline.
func newStepOfUnevenWorkers(t *testing.T, tasks int, isGang bool, timeLeft time.Duration) (*cluster, *readyStep) {
	k := newCluster(1, faults{})
	k.orderByCost = true
	k.sched.settings = k.settings()
	k.setUp(9, false)
	k.run(2 * time.Second)
	for n := uint32(1); n <= 9; n++ {
		k.sched.workers[n].setClass(int(n%3)*2 - 2)
	}
	step := newStep(tasks, 4000, 1000)
	step.Gang = isGang
	submit := job.Op{Submit: &job.Submit{ID: 7, Queue: "drafts", Spec: job.Spec{Steps: []job.Step{step}}, AcceptedMillis: k.wallMillis()}}
	k.state.Apply(submit)
	k.sched.Applied(k.now, submit)
	ready := k.sched.readySteps()
	if len(ready) != 1 {
		t.Fatalf("%d steps are ready", len(ready))
	}
	ready[0].pool = "desk"
	ready[0].deadlineMillis = k.sched.wallMillis + timeLeft.Milliseconds()
	k.sched.collectWorkers()
	return k, ready[0]
}

// countClasses returns how many of the workers are of each class.
func countClasses(workers []*worker) map[int]int {
	counts := map[int]int{}
	for _, w := range workers {
		counts[w.speed.class()]++
	}
	return counts
}

// Guards against a gang that spans fast and slow workers although workers of one speed have room,
// which keeps the fast ones waiting for the slow ones; against one that takes the fast workers
// although it can be in time on slow ones, or slow ones with which it will be late; and against
// urgent tasks on slow workers while fast ones have room.
func TestWorkersOfWantedSpeedAreSelected(t *testing.T) {
	for _, test := range []struct {
		name     string
		tasks    int
		isGang   bool
		timeLeft time.Duration
		want     map[int]int // workers by class
	}{
		{"gang with time left", 6, true, 10 * time.Second, map[int]int{-2: 6}},
		{"gang that needs workers of speed 1", 6, true, 2 * time.Second, map[int]int{0: 6}},
		{"gang with little time left", 6, true, 1700 * time.Millisecond, map[int]int{2: 6}},
		{"gang that will be late", 6, true, -time.Second, map[int]int{2: 6}},
		{"gang wider than one class", 10, true, 2 * time.Second, map[int]int{0: 6, 2: 4}},
		{"gang wider than the classes that are fast enough", 10, true, 1700 * time.Millisecond, map[int]int{0: 6, 2: 4}},
		{"gang of all workers", 18, true, 10 * time.Second, map[int]int{-2: 6, 0: 6, 2: 6}},
		{"tasks with little time left", 4, false, 1700 * time.Millisecond, map[int]int{2: 4}},
		{"more tasks than fit on fast workers", 9, false, 1700 * time.Millisecond, map[int]int{2: 6, 0: 3}},
	} {
		t.Run(test.name, func(t *testing.T) {
			k, r := newStepOfUnevenWorkers(t, test.tasks, test.isGang, test.timeLeft)
			workers := k.sched.eligibleWorkers(r)
			examined := k.sched.examined
			qt.Assert(t, countClasses(k.sched.selectWorkers(r, workers)), qt.DeepEquals, test.want)
			// Guards against a selection that examines more workers than one without speeds.
			examined = k.sched.examined - examined
			k.sched.settings.OrderByCost = false
			before := k.sched.examined
			k.sched.selectWorkers(r, workers)
			qt.Assert(t, k.sched.examined-before, qt.Equals, examined)
		})
	}
}

// Guards against a gang that preempts runs on workers of any speed, or asks the advisor about them,
// and then has to start on what it got.
func TestGangReservesAndAsksForWorkersOfOneSpeed(t *testing.T) {
	k, r := newStepOfUnevenWorkers(t, 6, true, 2*time.Second)
	full := newStep(1, 8000, 60_000)
	for n := uint32(1); n <= 9; n++ {
		k.sched.addClaim(job.TaskRef{StepRef: job.StepRef{Job: 9}, Index: uint16(n)}, 1, k.sched.workers[n], &full, claimRunning)
	}
	candidates := k.sched.workersWithSlots(r, k.sched.schedulable["desk"], 0)
	for i := range candidates {
		candidates[i].slots = 2
	}
	asked := k.sched.selectToAsk(r, candidates, 1)
	qt.Assert(t, countClasses(asked[:3]), qt.DeepEquals, map[int]int{0: 3})
	ok := k.sched.reserveCapacity(r, k.sched.schedulable["desk"], k.sched.capacityAfterCompletion, true)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, countClasses(k.sched.reservations[r.ref].workers), qt.DeepEquals, map[int]int{0: 3})
}

// Guards against classes beyond the array of slots for the bounds of the learned speeds.
func TestBoundsOfSpeedsHaveClasses(t *testing.T) {
	for speed, class := range map[float64]int{minSpeed: -maxSpeedClass, 1: 0, maxSpeed: maxSpeedClass} {
		v := workerSpeed{log: average{value: math.Log(speed)}}
		qt.Assert(t, v.class(), qt.Equals, class)
	}
}

// Guards against a number of wanted tasks that overflows after hundreds of answers without a grant: its
// value would depend on the machine, and a gang would prefer workers as if any set had enough slots.
func TestSpeedToAskWithHardlyAnyGrants(t *testing.T) {
	k, r := newStepOfUnevenWorkers(t, 3, true, time.Minute)
	candidates := k.sched.workersWithSlots(r, k.sched.schedulable["desk"], 1)
	qt.Assert(t, candidates, qt.HasLen, 9)
	for _, rate := range []float64{1e-30, 0} {
		qt.Check(t, k.sched.speedToAsk(r, candidates, rate), qt.Equals, speedRange{prefersSlow: true})
	}
}
