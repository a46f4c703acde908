package standin

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/oleanderchute/oleanderchute/api"
)

// Guards against a task that is reported as done although its lease had ended, when
// the process was paused and the run timer fires before the lease timer.
func TestTaskIsNotDoneAfterLeaseEnd(t *testing.T) {
	c := qt.New(t)
	inc := startWorker(c, nil).current()
	_, err := inc.dispatch(dispatchOf(inc, "k", runLong))
	c.Assert(err, qt.IsNil)
	inc.mu.Lock()
	inc.leaseEnd = 1
	inc.mu.Unlock()
	inc.finish(taskID("k", 1))
	c.Assert(awaitEnd(c, inc, 1, taskID("k", 1)).Kind, qt.Equals, api.EndStopped)
}

// Guards against attempts that are forgotten too early, or kept for ever.
func TestEndedAttemptsAreEvictedAfterTenMinutes(t *testing.T) {
	c := qt.New(t)
	inc := startWorker(c, nil).current()
	for _, key := range []string{"acked", "not acked"} {
		_, err := inc.dispatch(dispatchOf(inc, key, `{"run_ms":0}`))
		c.Assert(err, qt.IsNil)
		awaitEnd(c, inc, 1, taskID(key, 1))
	}
	_, err := inc.sync(syncOf(inc, 1, taskID("acked", 1)))
	c.Assert(err, qt.IsNil)
	inc.mu.Lock()
	defer inc.mu.Unlock()
	inc.evict(time.Now().Add(rememberFor - time.Minute))
	c.Assert(inc.tasks, qt.HasLen, 2)
	inc.evict(time.Now().Add(rememberFor + time.Minute))
	c.Assert(inc.tasks, qt.HasLen, 1)
	c.Assert(inc.tasks[taskID("not acked", 1)], qt.IsNotNil)
}

// Guards against a body that does not set the run time and the answer as documented.
func TestProgram(t *testing.T) {
	c := qt.New(t)
	for _, tc := range []struct {
		body   string
		run    time.Duration
		answer int
	}{
		{"plain", time.Second, 5},
		{`{"run_ms":50,"answer":"ok"}`, 50 * time.Millisecond, 2},
		{`{"run_ms":-1,"answer_bytes":9}`, 0, 9},
		{`{"answer_bytes":99999999}`, time.Second, api.MaxBodyBytes},
		{`{"run_ms":"x"}`, time.Second, 14},
	} {
		p := parseProgram([]byte(tc.body))
		c.Assert(p.runTime(time.Second), qt.Equals, tc.run)
		c.Assert(p.answer([]byte(tc.body)), qt.HasLen, tc.answer)
	}
}
