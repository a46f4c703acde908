package cell

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// Guards against a held call that is sent to a former leader because the leader changed between its
// release and its wake-up, and against a call that is counted as unanswered by the new leader for ever,
// after which an idle VM doubts its leader before each call.
func TestReleasedCallFollowsAChangeOfLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := Settings{Address: "e1", Seeds: []string{"k1", "k2"}}
		node, err := New(s, nil, nil, zap.NewNop())
		c.Assert(err, qt.IsNil)
		r := node.router
		permits := make(chan permit)
		go func() {
			p, rejection := r.acquire(t.Context(), Call{Kind: SubmitJob}, time.Now().Add(time.Second), false)
			c.Check(rejection, qt.Equals, "")
			permits <- p
		}()
		synctest.Wait() // the call is held
		r.mu.Lock()
		r.finder.replied(time.Now(), "k1", "k1")
		r.dispatch(time.Now())
		r.finder.failed(time.Now(), "k1")
		r.finder.replied(time.Now(), "k2", "k2")
		r.mu.Unlock()
		p := <-permits
		c.Check(p.leader, qt.Equals, "k2")
		r.release(p)
		c.Check(r.finder.inFlight, qt.Equals, 0)
		c.Check(r.held.released, qt.Equals, 0)
	})
}

// Guards against a held call that is sent to a leader which was lost between its release and its
// wake-up: it is held again, also if other calls have filled its place.
func TestReleasedCallIsHeldAgainWithoutALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		node, err := New(Settings{Address: "e1", Seeds: []string{"k1", "k2"}}, nil, nil, zap.NewNop())
		c.Assert(err, qt.IsNil)
		r := node.router
		permits := make(chan permit)
		go func() {
			p, rejection := r.acquire(t.Context(), Call{Kind: SubmitJob}, time.Now().Add(time.Second), false)
			c.Check(rejection, qt.Equals, "")
			permits <- p
		}()
		synctest.Wait() // the call is held
		r.mu.Lock()
		r.finder.replied(time.Now(), "k1", "k1")
		r.dispatch(time.Now())
		r.finder.failed(time.Now(), "k1")
		for range maxHeldCalls {
			r.held.arrive(time.Now(), time.Now().Add(100*time.Millisecond), 0, false, false)
		}
		r.mu.Unlock()
		synctest.Wait()
		r.mu.Lock()
		c.Check(len(r.waiting), qt.Equals, 1)
		c.Check(r.held.released, qt.Equals, 0)
		r.mu.Unlock()
		time.Sleep(100 * time.Millisecond) // the time of the other calls ends
		r.probeReplied("k2", false, JoinReply{Leader: "k2"})
		p := <-permits
		c.Check(p.leader, qt.Equals, "k2")
		r.release(p)
		c.Check(r.finder.inFlight, qt.Equals, 0)
	})
}
