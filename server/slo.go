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

// sloClockAhead is how far in the future a sample may lie. VMs' clocks differ by less;
// later samples come from a clock that was set back since.
const sloClockAhead = 5 * time.Minute

// sloRequests bounds the requests whose class and earlier samples are remembered. They
// take about 200 B each.
const sloRequests = 16384

// sloKeeper records this VM's service-level samples. It is safe for concurrent use; the
// file is used by run alone.
type sloKeeper struct {
	log     *zap.Logger
	path    string // empty for a VM without a disk
	fs      storage.FS
	started time.Time

	mu       sync.Mutex
	set      *slo.Set                              // guarded by mu
	changed  bool                                  // guarded by mu; not yet saved
	tables   uint64                                // guarded by mu; newest version sampled
	requests *lru.Cache[api.RequestKey, *sloCalls] // entries are guarded by mu
}

// sloCalls is what was recorded for one request, so that repeated questions for the
// same outcome count once on this VM.
type sloCalls struct {
	class api.Class
	team  string
	// counted holds the samples already recorded.
	counted []sloCounted
}

type sloCounted struct {
	indicator slo.Indicator
	bad       bool
}

// checkSLO checks the objectives.
func checkSLO(s *Settings) error {
	_, err := slo.ParseAll(s.SLO)
	return errors.WithMessage(err, "--slo")
}

// newSLOKeeper loads the data of an earlier process. Settings must be valid. A file
// that cannot be used is logged and replaced at the next save.
func newSLOKeeper(settings Settings, log *zap.Logger) *sloKeeper {
	objectives, err := slo.ParseAll(settings.SLO)
	if err != nil {
		panic(err) // Validate has accepted the settings
	}
	requests, err := lru.New[api.RequestKey, *sloCalls](sloRequests)
	if err != nil {
		panic(err) // the size is positive
	}
	k := &sloKeeper{log: log, fs: storage.OS{}, started: time.Now(), set: slo.NewSet(objectives), requests: requests}
	if settings.DataDir != "" {
		k.path = filepath.Join(settings.DataDir, sloFile)
		k.load(objectives)
	}
	return k
}

// encode returns this VM's data for another VM.
func (k *sloKeeper) encode() ([]byte, error) {
	return k.snapshot().Encode()
}

// snapshot copies the data. It locks once per objective, so that the control goroutine
// never waits for a copy of everything.
func (k *sloKeeper) snapshot() slo.Snapshot {
	var snap slo.Snapshot
	for _, id := range k.set.IDs() {
		k.mu.Lock()
		snap.Add(k.set, id)
		k.mu.Unlock()
	}
	return snap
}

// sloSubmitted records the answer to a submit and returns it.
func (s *Server) sloSubmitted(req api.SubmitRequest, reply StatusReply) StatusReply {
	key := api.RequestKey{Caller: req.Caller, Key: req.Key}
	s.slo.answered(key, s.sloKind(req.Kind), &sloCalls{class: req.Class, team: req.Team}, reply)
	return reply
}

// sloQueried records the answer to a query or cancel and returns it. The class and team
// are known if the request was submitted through this VM not long ago; otherwise only
// objectives for any class count it, and none for shares.
func (s *Server) sloQueried(key api.RequestKey, kind string, reply StatusReply) StatusReply {
	s.slo.answered(key, s.sloKind(kind), nil, reply)
	return reply
}

// sloKind returns the name of the route that serves a kind, since callers may use an
// alias; the kind itself if no route serves it now.
func (s *Server) sloKind(kind string) string {
	route, _, err := s.view.Load().resolver.Resolve(kind)
	if err != nil {
		return kind
	}
	return route.Name
}

// answered records what an answer shows. submitted is nil for a query.
func (k *sloKeeper) answered(key api.RequestKey, kind string, submitted *sloCalls, reply StatusReply) {
	samples := sloSamples(reply)
	if len(samples) == 0 && submitted == nil {
		return
	}
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	calls := k.remembered(key, submitted)
	for _, sample := range samples {
		counted := sloCounted{sample.Indicator, sample.Bad}
		if slices.Contains(calls.counted, counted) || sample.Indicator == slo.Share && calls.team == "" {
			continue
		}
		calls.counted = append(calls.counted, counted)
		sample.Kind, sample.Class, sample.Team = kind, calls.class, calls.team
		k.set.Record(now, sample)
		k.changed = true
	}
}

// remembered returns the entry of a request, a new one if there is none.
func (k *sloKeeper) remembered(key api.RequestKey, submitted *sloCalls) *sloCalls {
	calls, ok := k.requests.Get(key)
	if !ok {
		calls = &sloCalls{}
		k.requests.Add(key, calls)
	}
	if submitted != nil {
		calls.class, calls.team = submitted.class, submitted.team
	}
	return calls
}

// sloExpired is the reason that package partition gives for work that passed its
// deadline before a start. Cancelled work has another reason and counts for neither
// waits nor shares.
const sloExpired = "the deadline passed before a start was possible"

// sloSamples returns what a reply says about the service.
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
	st := reply.Status
	if st == nil {
		return nil
	}
	var out []slo.Sample
	if st.State.IsOutcome() {
		out = append(out, slo.Sample{Indicator: slo.Answer, Bad: !st.State.IsFinal()})
	}
	switch {
	case st.Attempt > 0:
		waited := time.Duration(st.WaitedMillis) * time.Millisecond
		out = append(out, slo.Sample{Indicator: slo.Wait, Value: waited}, slo.Sample{Indicator: slo.Share})
	case st.State == api.StateNotRun && st.Reason == sloExpired:
		out = append(out, slo.Sample{Indicator: slo.Wait, Bad: true}, slo.Sample{Indicator: slo.Share, Bad: true})
	}
	return out
}

// tablesApplied records the age of each version that this VM has just applied. The age
// is the difference between two VMs' wall clocks, so it is wrong by their difference;
// a negative age counts as 0. Versions from before the start of this process are not
// sampled: their age would be the time that the VM was down. history is newest first.
func (k *sloKeeper) tablesApplied(history []api.HistoryEntry) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	newest := k.tables
	for _, h := range history {
		if h.Version <= k.tables {
			break
		}
		newest = max(newest, h.Version)
		if h.UnixMillis >= k.started.UnixMilli() {
			k.set.Record(now, slo.Sample{Indicator: slo.Spread, Value: now.Sub(time.UnixMilli(h.UnixMillis))})
			k.changed = true
		}
	}
	k.tables = newest
}

// SLOReply carries one VM's service-level data as slo.Snapshot encodes them.
type SLOReply struct{ Data []byte }

// SLO returns this VM's service-level data.
func (c *clusterService) SLO(_ Empty, reply *SLOReply) (err error) {
	reply.Data, err = c.s.slo.encode()
	return err
}

// handleSLO serves GET /v1/slo: the service-level data of all VMs that answer, merged by
// the objectives of this VM.
func (s *Server) handleSLO(w http.ResponseWriter, r *http.Request) {
	objectives, err := slo.ParseAll(s.settings.SLO)
	if err != nil {
		panic(err) // Validate has accepted the settings
	}
	merged := slo.NewSet(objectives)
	var mu sync.Mutex
	var answered, missing []string
	s.askAll(r.Context(), func(ctx context.Context, vm string) {
		set, err := s.sloOf(ctx, vm, objectives)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			s.log.Warn("no service-level data of a VM", zap.String("of", vm), zap.Error(err))
			missing = append(missing, vm)
			return
		}
		answered = append(answered, vm)
		merged.Merge(set)
	})
	sort.Strings(answered)
	sort.Strings(missing)
	now := time.Now()
	merged.DropAfter(now.Add(sloClockAhead))
	report := merged.Report(now)
	report.VMs, report.Missing = answered, missing
	writeJSON(w, http.StatusOK, report)
}

// sloTimeout bounds the call for one VM's data. It is longer than callTimeout, so that
// the call uses the bulk connection: full data take up to 90 KB per objective.
const sloTimeout = 2 * callTimeout

// sloOf asks a VM for its data.
func (s *Server) sloOf(ctx context.Context, vm string, objectives []slo.Objective) (*slo.Set, error) {
	var reply SLOReply
	if err := s.callVM(ctx, vm, serviceCluster+".SLO", Empty{}, &reply, sloTimeout); err != nil {
		return nil, err
	}
	return slo.Decode(objectives, reply.Data)
}
