package server

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/control"
	"github.com/oleanderchute/oleanderchute/replica"
)

// problemRecorder collects the configuration problems that this VM detects. It is safe for
// concurrent use.
type problemRecorder struct {
	mu         sync.Mutex
	problemLog *control.ProblemLog // guarded by mu
	logger     *zap.Logger
	// recentlyLogged holds the problems that were logged within problemLogInterval.
	recentlyLogged *expirable.LRU[string, struct{}]
}

// A problem is logged once per problemLogInterval, since a worker with an unknown pool announces
// every second and a caller may send thousands of requests of an unknown kind. maxRecentlyLogged
// limits the problems that are remembered for this.
const (
	problemLogInterval = time.Minute
	maxRecentlyLogged  = 4096
)

func newProblemRecorder(logger *zap.Logger) *problemRecorder {
	return &problemRecorder{
		problemLog: control.NewProblemLog(0), logger: logger,
		recentlyLogged: expirable.NewLRU[string, struct{}](maxRecentlyLogged, nil, problemLogInterval),
	}
}

// warnOnce logs a problem unless the same message, name and source were logged within
// problemLogInterval.
func (p *problemRecorder) warnOnce(message, name, source string, fields ...zap.Field) {
	id := message + "\x00" + name + "\x00" + source
	if p.recentlyLogged.Contains(id) {
		return
	}
	p.recentlyLogged.Add(id, struct{}{})
	p.logger.Warn(message, fields...)
}

func nowUnixMillis() int64 { return time.Now().UnixMilli() }

// recordUnknownKind records a request whose kind has no route.
func (p *problemRecorder) recordUnknownKind(kind, caller string, r *control.Resolver) {
	p.warnOnce("no route serves the kind", kind, caller, zap.String("kind", kind), zap.String("caller", caller), zap.String("nearest", r.NearestRoute(kind)))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.problemLog.RecordUnknownKind(nowUnixMillis(), kind, caller, r)
}

// recordUnknownPool records a worker that announces a pool that does not exist.
func (p *problemRecorder) recordUnknownPool(worker, pool string, r *control.Resolver) {
	p.warnOnce("worker announces an unknown pool", pool, worker, zap.String("worker", worker), zap.String("pool", pool), zap.String("nearest", r.NearestPool(pool)))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.problemLog.RecordUnknownPool(nowUnixMillis(), worker, pool, r)
}

// removeWorker removes a worker from the unknown pools that it announced.
func (p *problemRecorder) removeWorker(worker string, r *control.Resolver) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.problemLog.RemoveWorker(worker, r)
}

// setTableProblems replaces the recorded problems of the tables in force.
func (p *problemRecorder) setTableProblems(problems []api.Problem, r *control.Resolver) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.problemLog.SetTableProblems(nowUnixMillis(), problems)
	p.problemLog.Refresh(nowUnixMillis(), r)
}

// refresh removes problems that the tables have resolved and problems not seen recently.
func (p *problemRecorder) refresh(r *control.Resolver) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.problemLog.Refresh(nowUnixMillis(), r)
}

func (p *problemRecorder) list() []api.Problem {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.problemLog.List()
}

// problemRefreshInterval is the interval at which resolved problems are removed and the metric
// is updated. Problems must be visible within a second.
const problemRefreshInterval = 500 * time.Millisecond

// watchProblems refreshes the problem log and its metric until ctx ends.
func (s *Server) watchProblems(ctx context.Context) {
	replica.Every(ctx, problemRefreshInterval, func() {
		s.problems.refresh(s.view.Load().resolver)
		s.metrics.problems.Reset()
		for _, p := range s.problems.list() {
			s.metrics.problems.WithLabelValues(p.Kind).Inc()
		}
	})
}
