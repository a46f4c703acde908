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

// problemKeeper collects the problems that this VM meets. It is safe for concurrent use.
type problemKeeper struct {
	mu  sync.Mutex
	log *control.ProblemLog // guarded by mu
	out *zap.Logger
	// logged holds what was logged within logInterval.
	logged *expirable.LRU[string, struct{}]
}

// A worker with a wrong name announces every second and a caller may send thousands of
// requests, so a problem is logged once in logInterval.
const (
	logInterval = time.Minute
	maxLogged   = 4096
)

func newProblemKeeper(out *zap.Logger) *problemKeeper {
	return &problemKeeper{
		log: control.NewProblemLog(0), out: out,
		logged: expirable.NewLRU[string, struct{}](maxLogged, nil, logInterval),
	}
}

// warn logs a problem unless it was logged a short time ago.
func (p *problemKeeper) warn(message, name, source string, fields ...zap.Field) {
	id := message + "\x00" + name + "\x00" + source
	if p.logged.Contains(id) {
		return
	}
	p.logged.Add(id, struct{}{})
	p.out.Warn(message, fields...)
}

func unixMillis() int64 { return time.Now().UnixMilli() }

// unknownKind notes a kind without a route.
func (p *problemKeeper) unknownKind(kind, caller string, r *control.Resolver) {
	p.warn("no route serves the kind", kind, caller, zap.String("kind", kind), zap.String("caller", caller), zap.String("nearest", r.NearestRoute(kind)))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log.RecordUnknownKind(unixMillis(), kind, caller, r)
}

// unknownPool notes a worker that announces a pool that does not exist.
func (p *problemKeeper) unknownPool(worker, pool string, r *control.Resolver) {
	p.warn("worker announces an unknown pool", pool, worker, zap.String("worker", worker), zap.String("pool", pool), zap.String("nearest", r.NearestPool(pool)))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log.RecordUnknownPool(unixMillis(), worker, pool, r)
}

// workerMatched drops a worker from the unknown pools.
func (p *problemKeeper) workerMatched(worker string, r *control.Resolver) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log.RemoveWorker(worker, r)
}

// setTables replaces the problems of the tables in force.
func (p *problemKeeper) setTables(problems []api.Problem, r *control.Resolver) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log.SetTableProblems(unixMillis(), problems)
	p.log.Refresh(unixMillis(), r)
}

// refresh drops what the tables have resolved and what was not seen for a while.
func (p *problemKeeper) refresh(r *control.Resolver) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log.Refresh(unixMillis(), r)
}

func (p *problemKeeper) list() []api.Problem {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.List()
}

// problemInterval is how often resolved problems are dropped and the metric is set. A
// problem has to appear within a second.
const problemInterval = 500 * time.Millisecond

// watchProblems keeps the problem log and its metric current.
func (s *Server) watchProblems(ctx context.Context) {
	replica.Every(ctx, problemInterval, func() {
		s.problems.refresh(s.view.Load().resolver)
		s.metrics.problems.Reset()
		for _, p := range s.problems.list() {
			s.metrics.problems.WithLabelValues(p.Kind).Inc()
		}
	})
}
