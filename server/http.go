package server

import (
	"context"
	"hash/fnv"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/api"
)

// Limits of the HTTP listener.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// writeTimeout is longer than the longest wait that a caller may request.
	writeTimeout = maxWaitMillis*time.Millisecond + 30*time.Second
)

func (s *Server) newHTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.limitInFlight(s.routes()),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(s.log),
	}
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	handlers := map[string]http.HandlerFunc{
		"POST /v1/requests":                  s.handleSubmit,
		"GET /v1/requests/{caller}/{key}":    s.handleOutcome,
		"DELETE /v1/requests/{caller}/{key}": s.handleCancel,
		"POST /v1/workers/announce":          s.handleAnnounce,
		"GET /v1/tables":                     s.handleTables,
		"POST /v1/tables/check":              s.handleCheck,
		"POST /v1/tables/apply":              s.handleApply,
		"GET /v1/history":                    s.handleHistory,
		"GET /v1/problems":                   s.handleProblems,
		"GET /v1/status":                     s.handleStatus,
		"GET /v1/workers":                    s.handleWorkers,
		"GET /v1/explain":                    s.handleExplain,
		"POST /v1/drain":                     s.handleDrain,
		"GET /v1/slo":                        s.handleSLO,
	}
	for pattern, h := range handlers {
		mux.Handle(pattern, s.instrument(pattern, h))
	}
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /livez", s.handleLive)
	mux.HandleFunc("GET /readyz", s.handleReady)
	return mux
}

// instrument records the latency of a handler under its pattern.
func (s *Server) instrument(pattern string, h http.HandlerFunc) http.Handler {
	observer := s.metrics.httpDuration.WithLabelValues(pattern)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		h(w, r)
		observer.Observe(time.Since(start).Seconds())
	})
}

// limitInFlight refuses calls while MaxWaiters calls are in flight.
func (s *Server) limitInFlight(next http.Handler) http.Handler {
	slots := make(chan struct{}, s.settings.MaxWaiters)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			next.ServeHTTP(w, r)
		default:
			err := api.Errorf(api.CodeOverloaded, "too many calls in flight on this VM; this copy was not forwarded")
			err.RetryAfterMillis = 1000
			s.refuse(w, err)
		}
	})
}

// handleLive answers 200 if the event loop goroutine responds, else 503.
func (s *Server) handleLive(w http.ResponseWriter, _ *http.Request) {
	if err := s.runOnEventLoop(func() {}); err != nil {
		http.Error(w, "the event loop does not respond", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handleReady answers 200 if this VM accepts new work.
func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.checkServing(); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handleDrain serves POST /v1/drain?vm=. The VM with that name, or this one if the name is
// empty, stops accepting new work and transfers its leaderships. Its process keeps running.
func (s *Server) handleDrain(w http.ResponseWriter, r *http.Request) {
	vm := r.URL.Query().Get("vm")
	if vm == "" {
		vm = s.settings.VM
	}
	if err := s.callVM(r.Context(), vm, serviceCluster+".Drain", Empty{}, &Empty{}, callTimeout); err != nil {
		code := api.CodeUnavailable
		if isUncertain(err) {
			code = api.CodeUnknownResult
		}
		s.refuse(w, api.Errorf(code, "VM %s did not confirm the drain: %v", vm, err))
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// beginDrain stops accepting new work and transfers the leadership of all groups.
func (s *Server) beginDrain() {
	if !s.draining.CompareAndSwap(false, true) {
		return
	}
	s.drainStartedAt.Store(int64(s.eventLoop.Now()))
	s.log.Info("draining: no new work is accepted")
	s.eventLoop.Post(func() { s.transferLeadership(s.eventLoop.Now()) })
}

// transferLeadership transfers the leadership of every group that this VM leads.
func (s *Server) transferLeadership(now time.Duration) {
	if s.control == nil {
		return
	}
	for _, g := range s.groups() {
		g.TransferLeadership(now)
	}
}

// drain waits up to the drain timeout for the calls in flight, before the process ends.
// Waiting callers get their answers from the new owners of their partitions.
func (s *Server) drain(httpServer *http.Server) {
	s.beginDrain()
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.DrainTimeout)
	defer cancel()
	if err := httpServer.Shutdown(ctx); err != nil {
		s.log.Warn("calls were still in flight at the end of the drain timeout", zap.Error(err))
	}
}

// seedFromName derives a random seed from a name, so that VMs draw different election timeouts.
func seedFromName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
