package cell

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/transport"
)

const (
	// modelRoundTrip is the round trip to another region, modelCommit the time of a commit there.
	modelRoundTrip = 24 * time.Millisecond
	modelCommit    = 40 * time.Millisecond
	// modelBudget is how long callers wait by default, less the margin for the response.
	modelBudget = 2850 * time.Millisecond
)

// outage runs an entry VM in virtual time against five keepers whose behaviour depends on the time.
type outage struct {
	c      *qt.C
	node   *Node
	began  time.Time
	keeper func(ms int64, address string) keeperModel
	calls  sync.WaitGroup
	lines  *timeline // of the VM's log

	mu       sync.Mutex
	accepted map[string]bool // paths of the submits that were carried out
	replies  []outageReply
	messages int // all messages to keepers
	inFlight int // calls that a leader serves now
	maxBusy  int
	served   []string // paths in the order in which they reached a leader
}

// outageReply is how a call was answered. The times are in milliseconds.
type outageReply struct {
	path             string
	sentAt, answered int64
	code             Code
	retryAfter       int64
}

// runOutage calls fn with an entry VM that knows k1 as the leader.
func runOutage(t *testing.T, keeper func(ms int64, address string) keeperModel, fn func(o *outage)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		o := &outage{c: c, keeper: keeper, accepted: map[string]bool{}, began: time.Now(), lines: newTimeline()}
		node, err := New(Settings{Address: "e1", Seeds: []string{"k1", "k2", "k3", "k4", "k5"}}, nil, nil, zap.New(o.lines))
		c.Assert(err, qt.IsNil)
		node.callPeer = o.call
		node.router.probeReplied("k1", false, JoinReply{Leader: "k1", Keepers: node.settings.Seeds})
		o.node = node
		ctx, cancel := context.WithCancel(t.Context())
		var loop sync.WaitGroup
		loop.Go(func() { node.findLeaderPeriodically(ctx) })
		fn(o)
		o.calls.Wait()
		cancel()
		loop.Wait()
		time.Sleep(callTimeout) // late probes
	})
}

func (o *outage) now() int64 { return time.Since(o.began).Milliseconds() }

// call is what the keepers do with a message.
func (o *outage) call(ctx context.Context, address, method string, args, reply any) error {
	o.mu.Lock()
	o.messages++
	o.mu.Unlock()
	k := o.keeper(o.now(), address)
	switch {
	case k.isSilent:
		<-ctx.Done()
		return errors.Wrap(errNoResponse{ctx.Err()}, method)
	case k.isDown:
		sleep(ctx, time.Millisecond)
		return transport.ErrNotSent
	}
	sleep(ctx, modelRoundTrip/2)
	k = o.keeper(o.now(), address)
	if join, ok := reply.(*JoinReply); ok {
		sleep(ctx, modelRoundTrip/2+k.replies)
		if ctx.Err() != nil {
			return errNoResponse{ctx.Err()}
		}
		*join = JoinReply{Leader: k.names, Keepers: o.node.settings.Seeds}
		return nil
	}
	r := reply.(*Reply)
	if k.names != address {
		sleep(ctx, modelRoundTrip/2)
		*r = Reply{Code: NotLeader, Leader: k.names}
		return nil
	}
	o.serve(args.(Call).Path)
	sleep(ctx, modelCommit+k.replies)
	o.mu.Lock()
	o.inFlight--
	o.mu.Unlock()
	if k = o.keeper(o.now(), address); k.isSilent || k.isDown {
		<-ctx.Done()
	}
	sleep(ctx, modelRoundTrip/2)
	if ctx.Err() != nil {
		return errNoResponse{ctx.Err()}
	}
	*r = Reply{Code: OK}
	return nil
}

func (o *outage) serve(path string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accepted[path] = true
	o.served = append(o.served, path)
	o.inFlight++
	o.maxBusy = max(o.maxBusy, o.inFlight)
}

// errNoResponse is the error of a call without a reply, as the transport returns it.
type errNoResponse struct{ cause error }

func (e errNoResponse) Error() string {
	return transport.ErrNoResponse.Error() + ": " + e.cause.Error()
}
func (e errNoResponse) Unwrap() []error { return []error{transport.ErrNoResponse, e.cause} }

// submitAt submits a job at a time in milliseconds, by a caller that waits for budget.
func (o *outage) submitAt(ms int64, budget time.Duration) {
	o.calls.Go(func() {
		time.Sleep(time.Until(o.began.Add(time.Duration(ms) * time.Millisecond)))
		ctx, cancel := context.WithTimeout(context.Background(), budget)
		defer cancel()
		o.forward(ctx, fmt.Sprintf("/d/%016x", ms))
	})
}

func (o *outage) forward(ctx context.Context, path string) {
	sentAt := o.now()
	r := o.node.Forward(ctx, Call{Kind: SubmitJob, Host: "h", Path: path})
	o.mu.Lock()
	defer o.mu.Unlock()
	o.replies = append(o.replies, outageReply{path, sentAt, o.now(), r.Code, r.RetryAfterMillis})
}

func (o *outage) heldCalls() int {
	o.node.router.mu.Lock()
	defer o.node.router.mu.Unlock()
	return len(o.node.router.waiting)
}

// submitPeriodically submits a job every 10 ms.
func (o *outage) submitPeriodically(until int64) {
	for ms := int64(0); ms < until; ms += 10 {
		o.submitAt(ms, modelBudget)
	}
	o.calls.Wait()
}

// check compares the replies with what the outage allows: a call whose time lasts until acceptedFrom
// must be accepted, only calls sent within unclearFrom and unclearUntil, or whose time ends while the
// next leader serves them, may have an unclear outcome, and no call that was carried out may be
// answered as not accepted. It returns the number of replies by code.
func (o *outage) check(unclearFrom, unclearUntil, acceptedFrom int64) map[Code]int {
	o.c.Helper()
	byCode := map[Code]int{}
	for _, r := range o.replies {
		byCode[r.code]++
		deadline := r.sentAt + modelBudget.Milliseconds()
		o.c.Check(r.answered <= deadline, qt.IsTrue, qt.Commentf("answered after its deadline: %+v", r))
		if deadline >= acceptedFrom {
			o.c.Check(r.code, qt.Equals, OK, qt.Commentf("%+v", r))
		}
		switch r.code {
		case OK:
			o.c.Check(o.accepted[r.path], qt.IsTrue)
		case Unavailable:
			o.c.Check(o.accepted[r.path], qt.IsFalse, qt.Commentf("%+v", r))
			o.c.Check(r.retryAfter >= 1000, qt.IsTrue, qt.Commentf("%+v", r))
		case Unknown:
			endsWhileServed := o.accepted[r.path] && deadline >= acceptedFrom-(modelRoundTrip+modelCommit).Milliseconds()
			o.c.Check(endsWhileServed || r.sentAt >= unclearFrom && r.sentAt <= unclearUntil, qt.IsTrue, qt.Commentf("%+v", r))
		default:
			o.c.Errorf("%+v", r)
		}
	}
	o.c.Logf("replies %v, messages %d, last %d ms", byCode, o.messages, o.now())
	return byCode
}

// allDownFrom1500To5000 is a loss of power of all keepers: their processes are back 100 ms after the power,
// and k2 leads from 5,520 ms on.
func allDownFrom1500To5000(ms int64, _ string) keeperModel {
	switch {
	case ms < 1500:
		return keeperModel{names: "k1"}
	case ms < 5000:
		return keeperModel{isSilent: true}
	case ms < 5100:
		return keeperModel{isDown: true}
	case ms < 5520:
		return keeperModel{}
	}
	return keeperModel{names: "k2"}
}

// Guards against calls with an unclear outcome, or answered too early or too late, while all keepers
// are down for three and a half seconds: only those in flight when the power was lost are unclear, and each
// that can be accepted before its deadline is.
func TestAllKeepersDownForThreeSeconds(t *testing.T) {
	runOutage(t, allDownFrom1500To5000, func(o *outage) {
		o.submitPeriodically(7000)
		byCode := o.check(1500-modelRoundTrip.Milliseconds()-modelCommit.Milliseconds(), 1500+silenceBeforeDoubt.Milliseconds(), 5680)
		o.c.Check(byCode[Unavailable] > 50, qt.IsTrue)
		o.c.Check(byCode[Unknown] < 30, qt.IsTrue)
	})
}

// Guards against calls that get an unclear outcome, or none in time, because a leader freezes: the
// next one, which is elected 0.7 s later, settles all of them.
func TestLeaderThatFreezes(t *testing.T) {
	runOutage(t, func(ms int64, address string) keeperModel {
		switch {
		case ms >= 1500 && address == "k1":
			return keeperModel{isSilent: true}
		case ms < 1900:
			return keeperModel{names: "k1"}
		case ms < 2200:
			return keeperModel{}
		}
		return keeperModel{names: "k4"}
	}, func(o *outage) {
		o.submitPeriodically(4000)
		byCode := o.check(0, 0, 0)
		o.c.Check(byCode[OK], qt.Equals, len(o.replies))
		for _, r := range o.replies {
			o.c.Check(r.answered-min(max(r.sentAt, 2200), r.answered) < 500, qt.IsTrue, qt.Commentf("late: %+v", r))
		}
	})
}

// Guards against calls that follow two changes of leader in a row and are answered unclear or late.
func TestTwoChangesOfLeaderInARow(t *testing.T) {
	runOutage(t, func(ms int64, address string) keeperModel {
		switch {
		case ms < 1500:
			return keeperModel{names: "k1"}
		case ms < 2100:
			return keeperModel{isSilent: address == "k1"}
		case ms < 2300:
			return keeperModel{isSilent: address == "k1", names: "k2"}
		case ms < 3000:
			return keeperModel{isSilent: address == "k1" || address == "k2"}
		}
		return keeperModel{isSilent: address == "k1" || address == "k2", names: "k3"}
	}, func(o *outage) {
		o.submitPeriodically(5000)
		byCode := o.check(0, 0, 0)
		o.c.Check(byCode[OK], qt.Equals, len(o.replies))
	})
}

// Guards against a keeper that hangs and delays all calls because it is asked for the leader in its turn.
func TestKeeperThatHangsDuringAnElection(t *testing.T) {
	runOutage(t, func(ms int64, address string) keeperModel {
		switch {
		case address == "k2" || address == "k3":
			return keeperModel{isSilent: true}
		case ms < 1500:
			return keeperModel{names: "k1"}
		case address == "k1":
			return keeperModel{isDown: true}
		case ms < 2000:
			return keeperModel{}
		}
		return keeperModel{names: "k5"}
	}, func(o *outage) {
		o.submitPeriodically(4000)
		byCode := o.check(0, 0, 0)
		o.c.Check(byCode[OK], qt.Equals, len(o.replies))
		for _, r := range o.replies { // at most two probes of 400 ms wait for a keeper that hangs
			o.c.Check(r.answered-min(max(r.sentAt, 2000), r.answered) < 1000, qt.IsTrue, qt.Commentf("late: %+v", r))
		}
	})
}

// Guards against a leader that is silent for a moment and loses all its calls to probes of the others.
func TestLeaderThatIsSlowForAMoment(t *testing.T) {
	runOutage(t, func(ms int64, _ string) keeperModel {
		if ms >= 1500 && ms < 2500 {
			return keeperModel{names: "k1", replies: 250 * time.Millisecond}
		}
		return keeperModel{names: "k1"}
	}, func(o *outage) {
		o.submitPeriodically(4000)
		byCode := o.check(0, 0, 0)
		o.c.Check(byCode[OK], qt.Equals, len(o.replies))
		for _, r := range o.replies {
			o.c.Check(r.answered-r.sentAt < 1200, qt.IsTrue, qt.Commentf("late: %+v", r))
		}
	})
}

// Guards against messages in calm times beside the calls themselves and one Join each joinInterval.
func TestNoProbesWhileTheLeaderIsKnown(t *testing.T) {
	runOutage(t, func(int64, string) keeperModel { return keeperModel{names: "k1"} }, func(o *outage) {
		o.submitPeriodically(10_000)
		byCode := o.check(0, 0, 0)
		o.c.Check(byCode[OK], qt.Equals, len(o.replies))
		o.c.Check(o.messages <= len(o.replies)+10_000/int(joinInterval.Milliseconds())+1, qt.IsTrue, qt.Commentf("%d messages for %d calls", o.messages, len(o.replies)))
	})
}

// Guards against calls that are held beyond the memory of the VM, and against calls over the bound that
// wait for their deadline although their rejection is known.
func TestMoreCallsThanAreHeld(t *testing.T) {
	runOutage(t, func(ms int64, _ string) keeperModel {
		if ms < 1000 {
			return keeperModel{isDown: true}
		}
		return keeperModel{names: "k2"}
	}, func(o *outage) {
		time.Sleep(joinInterval + 10*time.Millisecond) // the Join to k1 has failed
		const excess = 500
		began := o.now()
		for i := range maxHeldCalls + excess {
			o.calls.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), modelBudget)
				defer cancel()
				o.forward(ctx, fmt.Sprintf("/d/%016x", i))
			})
		}
		o.calls.Wait()
		byCode := map[Code]int{}
		for _, r := range o.replies {
			byCode[r.code]++
			if r.code == Unavailable {
				o.c.Check(r.answered, qt.Equals, began, qt.Commentf("%+v", r))
			}
		}
		o.c.Check(byCode[Unavailable], qt.Equals, excess)
		o.c.Check(byCode[OK], qt.Equals, maxHeldCalls)
		o.c.Check(o.maxBusy <= releaseWindow, qt.IsTrue, qt.Commentf("%d calls at once", o.maxBusy))
	})
}

// Guards against held calls that reach the leader in another order than that of the time they have left.
func TestMostUrgentCallFirstAfterAnOutage(t *testing.T) {
	runOutage(t, func(ms int64, _ string) keeperModel {
		if ms < 1000 {
			return keeperModel{isDown: true}
		}
		return keeperModel{names: "k2"}
	}, func(o *outage) {
		for i := range int64(200) { // the later ones have less time
			o.submitAt(600+i, time.Duration(2800-10*i)*time.Millisecond)
		}
		o.calls.Wait()
		o.c.Assert(o.served, qt.HasLen, 200)
		first := map[string]bool{}
		for _, path := range o.served[:releaseWindow] {
			first[path] = true
		}
		for i := 200 - releaseWindow; i < 200; i++ {
			o.c.Check(first[fmt.Sprintf("/d/%016x", 600+i)], qt.IsTrue)
		}
	})
}

// Guards against calls that are held for callers that have gone, and that take the place of others.
func TestCallersThatHaveGoneAreNotHeld(t *testing.T) {
	runOutage(t, func(int64, string) keeperModel { return keeperModel{isDown: true} }, func(o *outage) {
		time.Sleep(joinInterval + 10*time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), modelBudget)
		o.calls.Go(func() { o.forward(ctx, "/d/1") })
		time.Sleep(100 * time.Millisecond)
		o.c.Assert(o.heldCalls(), qt.Equals, 1)
		cancel()
		o.calls.Wait()
		o.c.Assert(o.heldCalls(), qt.Equals, 0)
		o.forward(ctx, "/d/2") // has gone before it arrives
		for _, r := range o.replies {
			o.c.Check(r.code, qt.Equals, Unavailable)
			o.c.Check(r.answered, qt.Equals, o.replies[0].answered)
		}
	})
}

// Guards against an answer that is held back: a call without the time for a probe is answered at once.
func TestCallWithoutTimeIsAnsweredAtOnce(t *testing.T) {
	runOutage(t, func(int64, string) keeperModel { return keeperModel{isSilent: true} }, func(o *outage) {
		time.Sleep(2 * joinInterval)
		began := o.now()
		ctx, cancel := context.WithTimeout(context.Background(), minRemaining-time.Millisecond)
		defer cancel()
		o.forward(ctx, "/d/1")
		o.c.Check(o.replies[0].code, qt.Equals, Unavailable)
		o.c.Check(o.replies[0].answered, qt.Equals, began)
	})
}

// Guards against a read that is answered as unclear, which its caller does not repeat, although it
// changes nothing.
func TestReadsAreNeverUnclear(t *testing.T) {
	runOutage(t, func(int64, string) keeperModel { return keeperModel{isSilent: true} }, func(o *outage) {
		for kind, want := range map[Kind]Code{QueryJob: Unavailable, CountPending: Unavailable, GetConfig: Unavailable, ExplainJob: Unavailable, SubmitJob: Unknown,
			CancelJob: Unknown, Announce: Unknown, PutConfig: Unknown, SignOff: Unknown} {
			o.node.router.probeReplied("k1", false, JoinReply{Leader: "k1"})
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			o.c.Check(o.node.Forward(ctx, Call{Kind: kind}).Code, qt.Equals, want, qt.Commentf("%v", kind))
			cancel()
		}
	})
}

// Guards against heartbeats of workers and configurations that are lost because no leader is known when
// they arrive. Operators and workers call another VM after a second.
func TestHeartbeatsAndConfigurationsAreHeldDuringAnElection(t *testing.T) {
	runOutage(t, func(ms int64, _ string) keeperModel {
		if ms < 700 {
			return keeperModel{isDown: true}
		}
		return keeperModel{names: "k2"}
	}, func(o *outage) {
		for _, kind := range []Kind{Announce, PutConfig, GetConfig, SignOff, QueryJob, CancelJob} {
			o.calls.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
				defer cancel()
				o.c.Check(o.node.Forward(ctx, Call{Kind: kind, Path: kind.String()}).Code, qt.Equals, OK, qt.Commentf("%v", kind))
			})
		}
		o.calls.Wait()
	})
}

// Guards against a call that is held because of an error that the leader itself returned, for example for a
// message that it cannot decode, and that lets the calls of all others wait for a probe.
func TestErrorOfTheLeaderDoesNotLoseTheLeader(t *testing.T) {
	runOutage(t, func(int64, string) keeperModel { return keeperModel{names: "k1"} }, func(o *outage) {
		o.node.callPeer = func(context.Context, string, string, any, any) error {
			return &transport.RemoteError{Method: "Call", Text: "decode message"}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		o.c.Check(o.node.Forward(ctx, Call{Kind: SubmitJob}).Code, qt.Equals, Unknown)
		leader, _ := o.node.router.leaderAndKeepers()
		o.c.Check(leader, qt.Equals, "k1")
	})
}

// sum returns the sum of a counter, or of the number of observations of a histogram, over all labels.
func (o *outage) sum(name string) (sum int) {
	families, err := o.node.Metrics().Gather()
	o.c.Assert(err, qt.IsNil)
	for _, f := range families {
		if f.GetName() == name {
			for _, m := range f.GetMetric() {
				sum += int(m.GetCounter().GetValue()) + int(m.GetHistogram().GetSampleCount()) + int(m.GetGauge().GetValue())
			}
		}
	}
	return sum
}

// Guards against an outage that the counters and the log do not show: calls held, rejected and unclear, and
// one line for the loss of a leader and one for the next.
func TestCountersAndLogLinesOfAnOutage(t *testing.T) {
	runOutage(t, allDownFrom1500To5000, func(o *outage) {
		o.submitPeriodically(7000)
		byCode := o.check(1400, 1700, 5680)
		o.c.Check(o.sum("oleander_cell_calls_rejected_total"), qt.Equals, byCode[Unavailable]+byCode[Unknown])
		unclear := o.sum("oleander_cell_calls_unclear_total")
		o.c.Check(unclear >= byCode[Unknown] && unclear < 40, qt.IsTrue, qt.Commentf("%d", unclear))
		held := o.sum("oleander_cell_call_held_seconds")
		o.c.Check(held >= byCode[Unavailable] && held < 700, qt.IsTrue, qt.Commentf("%d", held))
		o.c.Check(o.sum("oleander_cell_held_calls"), qt.Equals, 0)
		o.c.Check(o.lines.count("leader lost"), qt.Equals, 1)
		o.c.Check(o.lines.count("leader found"), qt.Equals, 2) // k1 at the start, then k2
		foundAt := o.lines.at("leader found", 2).Sub(o.began)
		o.c.Check(foundAt < 5620*time.Millisecond, qt.IsTrue, qt.Commentf("%v", foundAt))
	})
}
