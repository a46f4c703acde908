package partition

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

// submit accepts a request, or makes the call wait for the request with the same key.
func (o *owner) submit(now time.Duration, e *Submit) {
	key := api.RequestKey{Caller: e.Request.Caller, Key: e.Request.Key}
	if l := o.requests[key]; l != nil && l.phase != phaseOutcome {
		if err := l.identity.check(key, e, o.p.routesByKind); err != nil {
			o.reply(e.Waiter, nil, err)
			return
		}
		o.addWaiter(now, l, e.Waiter, e.WaitUntil)
		return
	}
	if r := o.p.records[key]; r != nil {
		if err := r.Spec.identity().check(key, e, o.p.routesByKind); err != nil {
			o.reply(e.Waiter, nil, err)
			return
		}
		o.reply(e.Waiter, o.status(r), nil)
		return
	}
	// The checks depend on the route, which may have changed since an earlier copy was accepted.
	if err := validateSubmit(e); err != nil {
		o.reply(e.Waiter, nil, err)
		return
	}
	o.admit(now, e, key)
}

// admit checks a new request and proposes its accept.
func (o *owner) admit(now time.Duration, e *Submit, key api.RequestKey) {
	if len(o.waiters) >= maxWaiters || o.proposer.pendingBytes >= maxPendingBytes {
		err := api.Errorf(api.CodeOverloaded, "overloaded: %d calls are waiting and %d bytes of commands are pending", len(o.waiters), o.proposer.pendingBytes)
		err.NotRun, err.RetryAfterMillis = true, api.Millis(time.Second)
		o.reply(e.Waiter, nil, err)
		return
	}
	s := newSpec(e, key)
	item := specItem(&s)
	item.Accepted = now
	if s.DeadlineMillis > 0 {
		item.Deadline = now + time.Duration(s.DeadlineMillis)*time.Millisecond
	}
	if a := o.sched.Admit(now, item); a.Verdict != placement.Admitted {
		o.reply(e.Waiter, nil, admissionError(a))
		return
	}
	l := &liveRequest{key: key, phase: phaseAccepting, identity: s.identity()}
	o.requests[key] = l
	o.propose(command{Accept: &acceptCommand{Spec: s, Body: e.Request.Body}})
	o.addWaiter(now, l, e.Waiter, e.WaitUntil)
}

// newSpec returns the spec of a new request, with defaults filled in.
func newSpec(e *Submit, key api.RequestKey) spec {
	request := &e.Request
	s := spec{
		Key: key, Kind: e.Route.Name, Pool: e.Route.Pool, Team: request.Team, Class: request.Class,
		Workload: e.Route.Workload, Resources: request.Resources, RunTimeMillis: request.RunTimeMillis,
		DeadlineMillis: request.DeadlineMillis, NonIdempotent: request.NonIdempotent, Region: e.Region,
		AcceptedUnixMillis: e.NowUnixMillis, Digest: requestDigest(e.Route.Name, request.Body), RequestedKind: request.Kind,
	}
	if request.Tasks > 1 {
		s.Tasks = request.Tasks
	}
	if s.Team == "" {
		s.Team = request.Caller
	}
	if s.Class == "" {
		s.Class = api.ClassNormal
		if classRank[e.Route.Class] > classRank[s.Class] {
			s.Class = e.Route.Class
		}
	}
	return s
}

// admissionError converts a refusal at admission into an error. Nothing was recorded.
func admissionError(a placement.Admission) *api.Error {
	code := api.CodeNeverFits
	if a.Verdict == placement.Overloaded {
		code = api.CodeOverloaded
	}
	err := &api.Error{Code: code, Message: a.Reason, NotRun: true}
	if code == api.CodeOverloaded {
		err.RetryAfterMillis = max(api.Millis(a.RetryAfter), 1)
	}
	return err
}

// handleAcceptApplied continues after the accept of a request is committed.
func (o *owner) handleAcceptApplied(now time.Duration, c *acceptCommand) {
	l := o.requests[c.Spec.Key]
	if l == nil || l.phase != phaseAccepting {
		return
	}
	l.rec = o.p.records[l.key]
	l.acceptedAt = now
	if c.Spec.DeadlineMillis > 0 {
		l.deadline = now + time.Duration(c.Spec.DeadlineMillis)*time.Millisecond
	}
	o.enqueueOrClose(now, l)
	o.answerDueWaiters(now, l)
}

// validateSubmit returns an error if a request is malformed.
func validateSubmit(e *Submit) *api.Error {
	request := &e.Request
	switch {
	case request.Caller == "" || len(request.Caller) > maxNameBytes:
		return badFieldError("caller", "must have 1 to %d bytes", maxNameBytes)
	case request.Key == "" || len(request.Key) > maxNameBytes:
		return badFieldError("key", "must have 1 to %d bytes", maxNameBytes)
	case len(request.Team) > maxNameBytes:
		return badFieldError("team", "must have at most %d bytes", maxNameBytes)
	case request.Tasks < 0 || request.Tasks > maxTasks:
		return badFieldError("tasks", "%d is out of range, use 0 to %d", request.Tasks, maxTasks)
	case request.Tasks > 1 && e.Route.Workload != api.WorkloadGang:
		return badFieldError("tasks", "route %q is not for gangs; use a route with the workload %q, or submit each of the %d tasks under its own key",
			e.Route.Name, api.WorkloadGang, request.Tasks)
	case request.Class != "" && classRank[request.Class] == 0:
		return badFieldError("class", "unknown class %q", request.Class)
	case request.Class != "" && classRank[request.Class] < classRank[e.Route.Class]:
		return badFieldError("class", "route %q allows at most class %q", e.Route.Name, e.Route.Class)
	case request.RunTimeMillis < 0 || request.RunTimeMillis > maxDurationMillis:
		return badFieldError("run_time_ms", "%d is out of range", request.RunTimeMillis)
	case request.DeadlineMillis < 0 || request.DeadlineMillis > maxDurationMillis:
		return badFieldError("deadline_ms", "%d is out of range", request.DeadlineMillis)
	case !areValidResources(request.Resources):
		return badFieldError("resources", "an amount is negative or out of range")
	case e.Route.Name == "" || e.Route.Pool == "":
		return badFieldError("kind", "the request has no resolved route")
	case len(request.Body) > api.MaxBodyBytes:
		return &api.Error{Code: api.CodeTooLarge, Field: "body", Message: "the body is over 1 MiB", NotRun: true}
	}
	return nil
}

// badFieldError returns the error for an invalid field. The request was not recorded.
func badFieldError(field, format string, args ...any) *api.Error {
	err := api.Errorf(api.CodeBadRequest, format, args...)
	err.Field, err.NotRun = field, true
	return err
}

// classRank ranks the classes, the most urgent first. A class that is not listed has rank 0.
var classRank = map[api.Class]int{api.ClassUrgent: 1, api.ClassNormal: 2, api.ClassLow: 3}

// areValidResources reports whether all amounts are between 0 and maxResourceAmount.
func areValidResources(r api.Resources) bool {
	for _, v := range []int64{r.MilliCPU, r.MemoryMB, r.Accelerators} {
		if v < 0 || v > maxResourceAmount {
			return false
		}
	}
	return true
}
