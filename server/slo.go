package server

import (
	"context"
	"net/http"
	"path/filepath"
	"slices"
	"sort"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/slo"
	"github.com/oleanderchute/oleanderchute/storage"
)

// maxClockSkew is how far in the future a sample may be. The clocks of VMs differ by less, so
// later samples come from a clock that has been set back since.
const maxClockSkew = 5 * time.Minute

// maxSLORequests limits the requests whose class, team and recorded samples are cached. Each
// takes about 200 B.
const maxSLORequests = 16384

// sloRecorder records the service-level samples of this VM. It is safe for concurrent use. Only
// run accesses the file after the start.
type sloRecorder struct {
	log       *zap.Logger
	path      string // empty for a VM without a disk
	fs        storage.FS
	startedAt time.Time

	mu            sync.Mutex
	samples       *slo.Set                                // guarded by mu
	changed       bool                                    // guarded by mu; samples has changed since the last save
	newestVersion uint64                                  // guarded by mu; newest applied version of the tables
	requests      *lru.Cache[api.RequestKey, *sloRequest] // entries are guarded by mu
}

// sloRequest holds what was recorded for one request, so that repeated queries of the same
// outcome count once on this VM.
type sloRequest struct {
	class api.Class
	team  string
	// recorded lists the samples that count already.
	recorded []recordedSample
}

// recordedSample identifies a sample of a request.
type recordedSample struct {
	indicator slo.Indicator
	bad       bool
}

// checkSLO checks the service-level objectives.
func checkSLO(s *Settings) error {
	_, err := slo.ParseAll(s.SLO)
	return errors.WithMessage(err, "--slo")
}

// newSLORecorder returns a recorder with the data that an earlier process saved. The settings
// must be valid. If the file cannot be used, this is logged and the next save replaces it.
func newSLORecorder(settings Settings, log *zap.Logger) *sloRecorder {
	objectives, err := slo.ParseAll(settings.SLO)
	if err != nil {
		panic(err) // Validate has accepted the settings
	}
	requests, err := lru.New[api.RequestKey, *sloRequest](maxSLORequests)
	if err != nil {
		panic(err) // the size is positive
	}
	r := &sloRecorder{log: log, fs: storage.OS{}, startedAt: time.Now(), samples: slo.NewSet(objectives), requests: requests}
	if settings.DataDir != "" {
		r.path = filepath.Join(settings.DataDir, sloFileName)
		r.load(objectives)
	}
	return r
}

// encode returns the encoded data of this VM.
func (r *sloRecorder) encode() ([]byte, error) {
	return r.snapshot().Encode()
}

// snapshot copies the data. It takes the lock once per objective, so that the event loop
// goroutine never waits for a copy of all data.
func (r *sloRecorder) snapshot() slo.Snapshot {
	var snap slo.Snapshot
	for _, id := range r.samples.IDs() {
		r.mu.Lock()
		snap.Add(r.samples, id)
		r.mu.Unlock()
	}
	return snap
}

// recordSubmitSLO records the samples of a reply to a submit and returns the reply.
func (s *Server) recordSubmitSLO(req api.SubmitRequest, reply StatusReply) StatusReply {
	key := api.RequestKey{Caller: req.Caller, Key: req.Key}
	s.slo.recordReply(key, s.routeNameForKind(req.Kind), &sloRequest{class: req.Class, team: req.Team}, reply)
	return reply
}

// recordQuerySLO records the samples of a reply to a query or cancel and returns the reply. The
// class and team are known if the request was recently submitted through this VM. Otherwise
// only objectives for any class count it, and no objective for shares does.
func (s *Server) recordQuerySLO(key api.RequestKey, kind string, reply StatusReply) StatusReply {
	s.slo.recordReply(key, s.routeNameForKind(kind), nil, reply)
	return reply
}

// routeNameForKind returns the name of the route that serves a kind, since the kind may be an
// alias. It returns the kind itself if no route serves it now.
func (s *Server) routeNameForKind(kind string) string {
	route, _, err := s.view.Load().resolver.Resolve(kind)
	if err != nil {
		return kind
	}
	return route.Name
}

// recordReply records the samples of a reply. submitted is nil for a query or cancel.
func (r *sloRecorder) recordReply(key api.RequestKey, kind string, submitted *sloRequest, reply StatusReply) {
	samples := sloSamples(reply)
	if len(samples) == 0 && submitted == nil {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.requestEntry(key, submitted)
	for _, sample := range samples {
		recorded := recordedSample{sample.Indicator, sample.Bad}
		if slices.Contains(request.recorded, recorded) || sample.Indicator == slo.Share && request.team == "" {
			continue
		}
		request.recorded = append(request.recorded, recorded)
		sample.Kind, sample.Class, sample.Team = kind, request.class, request.team
		r.samples.Record(now, sample)
		r.changed = true
	}
}

// requestEntry returns the entry of a request and adds it if there is none. r.mu must be held.
func (r *sloRecorder) requestEntry(key api.RequestKey, submitted *sloRequest) *sloRequest {
	request, ok := r.requests.Get(key)
	if !ok {
		request = &sloRequest{}
		r.requests.Add(key, request)
	}
	if submitted != nil {
		request.class, request.team = submitted.class, submitted.team
	}
	return request
}

// deadlinePassedReason is the reason that package partition reports for a request whose deadline
// passed before it started. Canceled requests have another reason and count neither for waits
// nor for shares.
const deadlinePassedReason = "the deadline passed before a start was possible"

// sloSamples returns the samples that a reply contains.
func sloSamples(reply StatusReply) []slo.Sample {
	if reply.Err != nil {
		switch reply.Err.Code {
		case api.CodeUnknownResult:
			return []slo.Sample{{Indicator: slo.Answer, Bad: true}}
		case api.CodeOverloaded:
			return []slo.Sample{{Indicator: slo.Share, Bad: true}}
		}
		return nil
	}
	status := reply.Status
	if status == nil {
		return nil
	}
	var out []slo.Sample
	if status.State.IsOutcome() {
		out = append(out, slo.Sample{Indicator: slo.Answer, Bad: !status.State.IsFinal()})
	}
	switch {
	case status.Attempt > 0:
		waited := time.Duration(status.WaitedMillis) * time.Millisecond
		out = append(out, slo.Sample{Indicator: slo.Wait, Value: waited}, slo.Sample{Indicator: slo.Share})
	case status.State == api.StateNotRun && status.Reason == deadlinePassedReason:
		out = append(out, slo.Sample{Indicator: slo.Wait, Bad: true}, slo.Sample{Indicator: slo.Share, Bad: true})
	}
	return out
}

// recordTablesApplied records the age of each version that this VM has just applied. The age is
// the difference between the wall clocks of two VMs, so it includes their skew; a negative age
// counts as 0. Versions from before the start of this process are not recorded, since their age
// would include the time that the VM was down. history is sorted from new to old.
func (r *sloRecorder) recordTablesApplied(history []api.HistoryEntry) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := r.newestVersion
	for _, h := range history {
		if h.Version <= r.newestVersion {
			break
		}
		newest = max(newest, h.Version)
		if h.UnixMillis >= r.startedAt.UnixMilli() {
			r.samples.Record(now, slo.Sample{Indicator: slo.Spread, Value: now.Sub(time.UnixMilli(h.UnixMillis))})
			r.changed = true
		}
	}
	r.newestVersion = newest
}

// SLOReply carries the service-level data of one VM, as encoded by slo.Snapshot.
type SLOReply struct{ Data []byte }

// SLO returns the service-level data of this VM.
func (c *clusterService) SLO(_ Empty, reply *SLOReply) (err error) {
	reply.Data, err = c.server.slo.encode()
	return err
}

// handleSLO serves GET /v1/slo: the merged service-level data of all VMs that answer, reported
// for the objectives of this VM.
func (s *Server) handleSLO(w http.ResponseWriter, r *http.Request) {
	objectives, err := slo.ParseAll(s.settings.SLO)
	if err != nil {
		panic(err) // Validate has accepted the settings
	}
	merged := slo.NewSet(objectives)
	var mu sync.Mutex
	var answered, missing []string
	s.forEachVM(r.Context(), func(ctx context.Context, vm string) {
		set, err := s.fetchSLO(ctx, vm, objectives)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			s.log.Warn("VM did not return its service-level data", zap.String("of", vm), zap.Error(err))
			missing = append(missing, vm)
			return
		}
		answered = append(answered, vm)
		merged.Merge(set)
	})
	sort.Strings(answered)
	sort.Strings(missing)
	now := time.Now()
	merged.DropAfter(now.Add(maxClockSkew))
	report := merged.Report(now)
	report.VMs, report.Missing = answered, missing
	writeJSON(w, http.StatusOK, report)
}

// sloTimeout limits the call for the data of one VM. It is longer than callTimeout, so that the
// call uses the bulk connection: the data take up to 90 KB per objective.
const sloTimeout = 2 * callTimeout

// fetchSLO returns the service-level data of a VM.
func (s *Server) fetchSLO(ctx context.Context, vm string, objectives []slo.Objective) (*slo.Set, error) {
	var reply SLOReply
	if err := s.callVM(ctx, vm, serviceCluster+".SLO", Empty{}, &reply, sloTimeout); err != nil {
		return nil, err
	}
	return slo.Decode(objectives, reply.Data)
}
