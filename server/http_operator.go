package server

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/control"
)

// handleTables serves GET /v1/tables: the newest tables that this VM has applied.
func (s *Server) handleTables(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.view.Load().tables)
}

// handleHistory serves GET /v1/history.
func (s *Server) handleHistory(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.view.Load().history)
}

// handleCheck serves POST /v1/tables/check: the problems of tables without applying them.
func (s *Server) handleCheck(w http.ResponseWriter, r *http.Request) {
	var next api.Tables
	if err := decodeJSON(r.Body, &next); err != nil {
		s.refuse(w, err)
		return
	}
	v, known := s.view.Load(), s.fetchPartitions(r.Context())
	problems := control.Check(v.tables, next, known.workers, v.partitionNames())
	writeJSON(w, http.StatusOK, append(problems, control.CheckWaiting(next, known.waiting)...))
}

// handleApply serves POST /v1/tables/apply. If the change conflicts with another one or fails
// the checks, the response is 200 with Accepted=false.
func (s *Server) handleApply(w http.ResponseWriter, r *http.Request) {
	var req api.ApplyRequest
	if err := decodeJSON(r.Body, &req); err != nil {
		s.refuse(w, err)
		return
	}
	if err := validateName("change_id", req.ChangeID); err != nil {
		s.refuse(w, err)
		return
	}
	waiting := make(chan []api.WaitingRequests, 1)
	go func() { waiting <- s.fetchPartitions(r.Context()).waiting }()
	reply := s.forwardApply(r.Context(), ApplyArgs{Request: req})
	if reply.Err != nil {
		s.refuse(w, reply.Err)
		return
	}
	if reply.Response.Accepted {
		// The state machine of the control group does not know the requests, so its response cannot warn of these.
		reply.Response.Problems = append(reply.Response.Problems, control.CheckWaiting(req.Tables, <-waiting)...)
	}
	writeJSON(w, http.StatusOK, reply.Response)
}

// forwardApply sends a change to the control leader. The change id makes it idempotent, so a
// call whose result is unknown can be repeated and returns the first response.
func (s *Server) forwardApply(ctx context.Context, args ApplyArgs) ApplyReply {
	deadline := time.Now().Add(forwardTimeout)
	uncertain := false
	for time.Now().Before(deadline) && ctx.Err() == nil {
		candidates := newLeaderCandidates(s.leaders.get(controlGroupName), s.knownVMs())
		for vm, more := candidates.next(); more; vm, more = candidates.next() {
			var reply ApplyReply
			err := s.callVM(ctx, vm, serviceCluster+".Apply", args, &reply, applyTimeout+callTimeout)
			uncertain = uncertain || isUncertain(err)
			if err == nil && !reply.NotOwner {
				s.leaders.set(controlGroupName, vm)
				return reply
			}
		}
		sleep(ctx, forwardBackoff)
	}
	if uncertain {
		return ApplyReply{Err: api.Errorf(api.CodeUnknownResult, "the control leader stopped answering; send the change again with the same change id")}
	}
	return ApplyReply{Err: api.Errorf(api.CodeUnavailable, "no control leader at the moment; the change was not accepted")}
}

// handleProblems serves GET /v1/problems: the merged problems of all VMs that answer.
func (s *Server) handleProblems(w http.ResponseWriter, r *http.Request) {
	var mu sync.Mutex
	var lists [][]api.Problem
	s.forEachVM(r.Context(), func(ctx context.Context, vm string) {
		var reply ProblemsReply
		if s.callVM(ctx, vm, serviceCluster+".Problems", Empty{}, &reply, callTimeout) == nil {
			mu.Lock()
			defer mu.Unlock()
			lists = append(lists, reply.Problems)
		}
	})
	v, known := s.view.Load(), s.fetchPartitions(r.Context())
	lists = append(lists, control.Check(api.Tables{}, v.tables, known.workers, v.partitionNames()), control.CheckWaiting(v.tables, known.waiting))
	writeJSON(w, http.StatusOK, control.MergeProblems(lists...))
}

// handleStatus serves GET /v1/status: the status of all VMs and partitions.
func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	var mu sync.Mutex
	var out api.StatusResponse
	s.forEachVM(r.Context(), func(ctx context.Context, vm string) {
		var reply VMStatusReply
		err := s.callVM(ctx, vm, serviceCluster+".Status", Empty{}, &reply, callTimeout)
		if err != nil {
			reply.Status = s.unreachableStatus(vm)
		}
		mu.Lock()
		defer mu.Unlock()
		out.VMs = append(out.VMs, reply.Status)
	})
	sort.Slice(out.VMs, func(i, j int) bool { return out.VMs[i].VM < out.VMs[j].VM })
	for _, name := range s.view.Load().partitionNames() {
		out.Partitions = append(out.Partitions, s.fetchPartition(r.Context(), name).Status)
	}
	writeJSON(w, http.StatusOK, out)
}

// unreachableStatus returns the status of a VM that did not answer.
func (s *Server) unreachableStatus(name string) api.VMStatus {
	out := api.VMStatus{VM: name, Role: "unreachable"}
	for _, vm := range s.view.Load().vms {
		if vm.Name == name {
			out.Region, out.FailureDomain = vm.Region, vm.FailureDomain
		}
	}
	return out
}

// handleWorkers serves GET /v1/workers.
func (s *Server) handleWorkers(w http.ResponseWriter, r *http.Request) {
	out := []api.WorkerStatus{}
	for _, name := range s.view.Load().partitionNames() {
		out = append(out, s.fetchPartition(r.Context(), name).Workers...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Worker < out[j].Worker })
	writeJSON(w, http.StatusOK, out)
}

// fetchPartition returns the workers, the waiting requests and the status of a partition from its
// owner. If no owner answers, the status has no leader.
func (s *Server) fetchPartition(ctx context.Context, name string) WorkersReply {
	reply, ok := callOwner[WorkersReply](ctx, s, name, servicePartition+".Workers", KeyArgs{Partition: name})
	if !ok {
		return WorkersReply{Status: api.PartitionStatus{Partition: name, Replicas: s.view.Load().partitions[name]}}
	}
	return reply
}

// partitionsInfo is what the checks of tables use of all partitions.
type partitionsInfo struct {
	workers []control.WorkerInfo // nil if any owner did not answer; the checks then treat the workers as unknown
	waiting []api.WaitingRequests
}

// fetchPartitions asks the owners of all partitions concurrently, so that those without an owner cost the time
// of one.
func (s *Server) fetchPartitions(ctx context.Context) partitionsInfo {
	names := s.view.Load().partitionNames()
	replies := make([]WorkersReply, len(names))
	var g errgroup.Group
	for i, name := range names {
		g.Go(func() error { replies[i] = s.fetchPartition(ctx, name); return nil })
	}
	_ = g.Wait()
	info := partitionsInfo{workers: []control.WorkerInfo{}}
	allAnswered := true
	for _, reply := range replies {
		allAnswered = allAnswered && reply.Status.Leader != ""
		for _, w := range reply.Workers {
			info.workers = append(info.workers, control.WorkerInfo{Worker: w.Worker, Pool: w.Pool, Capacity: w.Capacity})
		}
		info.waiting = append(info.waiting, reply.Waiting...)
	}
	if !allAnswered {
		info.workers = nil
	}
	return info
}

// handleExplain serves GET /v1/explain?caller=&key=&kind=.
func (s *Server) handleExplain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	home, err := s.homePartition(q.Get("kind"))
	if err != nil {
		s.refuse(w, err)
		return
	}
	args := KeyArgs{Partition: home, Key: api.RequestKey{Caller: q.Get("caller"), Key: q.Get("key")}}
	reply, ok := callOwner[ExplainReply](r.Context(), s, home, servicePartition+".Explain", args)
	if !ok {
		s.refuse(w, api.Errorf(api.CodeUnavailable, "partition %s has no owner at the moment", home))
		return
	}
	if reply.Explanation.State == "" {
		s.refuse(w, api.Errorf(api.CodeNotFound, "partition %s has no request %s", home, args.Key))
		return
	}
	writeJSON(w, http.StatusOK, reply.Explanation)
}

// forEachVM runs fn concurrently for every known VM and waits for all.
func (s *Server) forEachVM(ctx context.Context, fn func(ctx context.Context, vm string)) {
	var g errgroup.Group
	for _, vm := range s.knownVMs() {
		g.Go(func() error { fn(ctx, vm); return nil })
	}
	_ = g.Wait()
}

// ownerReplier is implemented by replies that embed OwnerReply.
type ownerReplier interface{ ownerReply() OwnerReply }

// callOwner calls each VM that may be the owner of a partition once, follows leader hints, and
// reports whether the owner answered. Each call decodes into a new reply, since gob does not
// overwrite fields that are zero in the answer.
func callOwner[R ownerReplier](ctx context.Context, s *Server, home, method string, args any) (R, bool) {
	candidates := s.ownerCandidates(home)
	for vm, more := candidates.next(); more; vm, more = candidates.next() {
		var reply R
		if err := s.callVM(ctx, vm, method, args, &reply, callTimeout); err != nil {
			s.leaders.set(home, "")
			continue
		}
		if !reply.ownerReply().NotOwner {
			s.leaders.set(home, vm)
			return reply, true
		}
		candidates.pushFront(reply.ownerReply().Leader)
	}
	var none R
	return none, false
}

// partitionNames returns the names of all partitions in sorted order.
func (v *clusterView) partitionNames() []string {
	names := make([]string, 0, len(v.partitions))
	for name := range v.partitions {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
