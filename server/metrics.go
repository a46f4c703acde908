package server

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// metrics of one VM, with units in their names.
type metrics struct {
	registry *prometheus.Registry
	answered *prometheus.CounterVec
	refused  *prometheus.CounterVec
	calls    *prometheus.HistogramVec
	problems *prometheus.GaugeVec
}

func newMetrics(s *Server) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		answered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_requests_answered_total", Help: "Answers to callers by request state."}, []string{"state"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_requests_refused_total", Help: "Refused calls by error code."}, []string{"code"}),
		calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oleander_http_request_seconds", Help: "Time to answer an HTTP call.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16)}, []string{"path"}),
		problems: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "oleander_problems", Help: "Open problems by kind."}, []string{"kind"}),
	}
	tablesAge := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "oleander_configuration_age_seconds", Help: "Time since the control leader last confirmed the tables."},
		func() float64 { return s.configAge(s.loop.Now()).Seconds() })
	version := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "oleander_tables_version", Help: "Version of the tables on this VM."},
		func() float64 { return float64(s.view.Load().tables.Version) })
	m.registry.MustRegister(m.answered, m.refused, m.calls, m.problems, tablesAge, version, byteCollector{s},
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}
