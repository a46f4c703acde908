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
	// writeTimeout leaves room for the longest wait that a caller may ask for.
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

func (s *Server) instrument(pattern string, h http.HandlerFunc) http.Handler {
	observer := s.metrics.httpDuration.WithLabelValues(pattern)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		h(w, r)
		observer.Observe(time.Since(start).Seconds())
	})
}

// limitInFlight bounds the calls in flight, and so the callers that wait.
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

// handleLive answers 200 while the control goroutine runs.
func (s *Server) handleLive(w http.ResponseWriter, _ *http.Request) {
	if err := s.runOnEventLoop(func() {}); err != nil {
		http.Error(w, "the control goroutine does not answer", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handleReady answers 200 while this VM takes new work.
func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.checkServing(); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handleDrain serves POST /v1/drain?vm=: the VM, or this one without a name, takes no new
// work from now on and hands its groups over. The process goes on.
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

// beginDrain stops taking new work and hands the leadership of all groups over.
func (s *Server) beginDrain() {
	if !s.draining.CompareAndSwap(false, true) {
		return
	}
	s.drainStartedAt.Store(int64(s.loop.Now()))
	s.log.Info("draining: no new work is taken")
	s.loop.Post(func() { s.transferLeadership(s.loop.Now()) })
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

// drain finishes the calls in flight, within the drain timeout, before the process
// ends. Callers that wait are answered by the new owners of their partitions.
func (s *Server) drain(httpServer *http.Server) {
	s.beginDrain()
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.DrainTimeout)
	defer cancel()
	if err := httpServer.Shutdown(ctx); err != nil {
		s.log.Warn("calls were still in flight at the end of the drain timeout", zap.Error(err))
	}
}

// seedFromName derives a seed from a name, so that VMs draw different election timeouts.
func seedFromName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
