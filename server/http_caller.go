package server

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// handleSubmit serves POST /v1/requests.
func (s *Server) handleSubmit(w http.ResponseWriter, r *http.Request) {
	args, err := s.parseSubmit(r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	release, err := s.admission.admit(s.eventLoop.Now(), args.Route.Name, &args.Request)
	if err != nil {
		s.refuse(w, err)
		return
	}
	defer release()
	wait := time.Duration(args.Request.WaitMillis) * time.Millisecond
	reply := s.submit(r.Context(), args, wait)
	s.admission.recordRefusal(s.eventLoop.Now(), args.Route.Name, &args.Request, reply.Err)
	s.writeReply(w, s.recordSubmitSLO(args.Request, reply))
}

// parseSubmit decodes and validates a request and resolves its route and partition.
func (s *Server) parseSubmit(r *http.Request) (SubmitArgs, *api.Error) {
	args := SubmitArgs{Region: s.settings.Region}
	if err := decodeJSON(r.Body, &args.Request); err != nil {
		return args, err
	}
	if err := validateSubmit(&args.Request); err != nil {
		return args, err
	}
	if err := s.checkServing(); err != nil {
		return args, err
	}
	resolver := s.view.Load().resolver
	route, pool, err := resolver.Resolve(args.Request.Kind)
	if err != nil {
		s.problems.recordUnknownKind(args.Request.Kind, args.Request.Caller, resolver)
		return args, err
	}
	args.Route, args.Partition = route, pool.Home
	return args, nil
}

// submit forwards a request to its owner and waits up to wait for an outcome.
func (s *Server) submit(ctx context.Context, args SubmitArgs, wait time.Duration) StatusReply {
	home := args.Partition
	deadline := time.Now().Add(wait)
	args.Wait = min(wait, maxRPCWait)
	reply := s.forward(ctx, home, servicePartition+".Submit", args, args.Wait)
	key := api.RequestKey{Caller: args.Request.Caller, Key: args.Request.Key}
	return s.awaitOutcome(ctx, home, key, reply, deadline)
}

// awaitOutcome repeats the query by key until the request has an outcome, the deadline passes or
// the drain timeout is nearly over. It returns the latest reply.
func (s *Server) awaitOutcome(ctx context.Context, home string, key api.RequestKey, reply StatusReply, deadline time.Time) StatusReply {
	for ctx.Err() == nil {
		remaining := time.Until(deadline)
		if remaining <= 0 || !isPending(reply) || s.isDrainEnding() {
			return reply
		}
		args := KeyArgs{Partition: home, Key: key, Wait: min(remaining, s.outcomeWait())}
		queried := s.forward(ctx, home, servicePartition+".Query", args, args.Wait)
		if queried.Err != nil && queried.Err.Code != api.CodeUnavailable && queried.Err.Code != api.CodeUnknownResult {
			return queried
		}
		if queried.Err == nil {
			reply = queried
			continue
		}
		// The owner cannot be reached at the moment. The request stays accepted.
		sleep(ctx, min(remaining, forwardBackoff))
	}
	return reply
}

// drainMargin is how long before the end of the drain timeout waiting callers get the current
// state of their requests, so that no call ends without an answer.
const drainMargin = 3 * time.Second

// isDrainEnding reports whether less than drainMargin is left of the drain timeout.
func (s *Server) isDrainEnding() bool {
	started := s.drainStartedAt.Load()
	return started != 0 && s.eventLoop.Now()-time.Duration(started) > s.settings.DrainTimeout-drainMargin
}

// outcomeWait returns how long one call between VMs waits for an outcome. The wait is shorter
// while draining.
func (s *Server) outcomeWait() time.Duration {
	if s.draining.Load() {
		return callTimeout
	}
	return maxRPCWait
}

// isPending reports whether the request was accepted and has no outcome yet.
func isPending(r StatusReply) bool {
	return r.Err == nil && r.Status != nil && !r.Status.State.IsOutcome()
}

// handleOutcome serves GET /v1/requests/{caller}/{key}.
func (s *Server) handleOutcome(w http.ResponseWriter, r *http.Request) {
	s.handleByKey(w, r, servicePartition+".Query")
}

// handleCancel serves DELETE /v1/requests/{caller}/{key}.
func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	s.handleByKey(w, r, servicePartition+".Cancel")
}

// handleByKey forwards a query or cancel by key to the owner and writes the reply.
func (s *Server) handleByKey(w http.ResponseWriter, r *http.Request, method string) {
	key := api.RequestKey{Caller: r.PathValue("caller"), Key: r.PathValue("key")}
	home, err := s.homePartition(r.URL.Query().Get("kind"))
	if err != nil {
		s.refuse(w, err)
		return
	}
	wait, err := parseWait(r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	release, err := s.admission.admitByKey(key.Caller, wait)
	if err != nil {
		s.refuse(w, err)
		return
	}
	defer release()
	deadline := time.Now().Add(wait)
	args := KeyArgs{Partition: home, Key: key, Wait: min(wait, maxRPCWait)}
	reply := s.forward(r.Context(), home, method, args, args.Wait)
	s.writeReply(w, s.recordQuerySLO(key, r.URL.Query().Get("kind"), s.awaitOutcome(r.Context(), home, key, reply, deadline)))
}

// homePartition returns the home partition of a kind, also of one that no route serves any more. It needs no
// valid configuration lease, since the home of a kind never changes and a query of accepted work starts nothing.
func (s *Server) homePartition(kind string) (string, *api.Error) {
	if kind == "" {
		return "", fieldError("kind", "missing: add ?kind= with the kind of the request")
	}
	return s.view.Load().resolver.Home(kind)
}

// parseWait returns the query parameter wait_ms, 0 if it is missing.
func parseWait(r *http.Request) (time.Duration, *api.Error) {
	text := r.URL.Query().Get("wait_ms")
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > maxWaitMillis {
		return 0, fieldError("wait_ms", "%q is not a number from 0 to %d", text, maxWaitMillis)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// checkServing returns an error while this VM is draining or does not know which configuration
// is in force.
func (s *Server) checkServing() *api.Error {
	if s.mayServe(s.eventLoop.Now()) {
		return nil
	}
	err := api.Errorf(api.CodeUnavailable, "this VM cannot tell which configuration is in force; nothing was accepted, try another VM")
	if s.draining.Load() {
		err.Message = "this VM is shutting down; nothing was accepted, try another VM"
	}
	err.RetryAfterMillis = 1000
	return err
}

// refuse responds with an error and counts it. A retry interval is also sent as Retry-After.
func (s *Server) refuse(w http.ResponseWriter, err *api.Error) {
	s.metrics.requestsRefused.WithLabelValues(string(err.Code)).Inc()
	if err.RetryAfterMillis > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((err.RetryAfterMillis+999)/1000, 10))
	}
	writeError(w, err)
}

// writeReply responds with the reply: 200 for an outcome, 202 while the request is pending, or
// the error.
func (s *Server) writeReply(w http.ResponseWriter, reply StatusReply) {
	if reply.Err != nil {
		s.refuse(w, reply.Err)
		return
	}
	status := http.StatusOK
	if !reply.Status.State.IsOutcome() {
		status = http.StatusAccepted
	}
	s.metrics.requestsAnswered.WithLabelValues(string(reply.Status.State)).Inc()
	writeJSON(w, status, reply.Status)
}
