package server

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// metrics are the Prometheus metrics of one VM. Their names include the units.
type metrics struct {
	registry         *prometheus.Registry
	requestsAnswered *prometheus.CounterVec
	requestsRefused  *prometheus.CounterVec
	httpDuration     *prometheus.HistogramVec
	problems         *prometheus.GaugeVec
}

func newMetrics(s *Server) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requestsAnswered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_requests_answered_total", Help: "Answers to callers by request state."}, []string{"state"}),
		requestsRefused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_requests_refused_total", Help: "Refused calls by error code."}, []string{"code"}),
		httpDuration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "oleander_http_request_seconds", Help: "Time to answer an HTTP call.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16)}, []string{"path"}),
		problems: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "oleander_problems", Help: "Open problems by kind."}, []string{"kind"}),
	}
	configAge := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "oleander_configuration_age_seconds", Help: "Time since the control leader last confirmed the tables."},
		func() float64 { return s.configAge(s.eventLoop.Now()).Seconds() })
	tablesVersion := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "oleander_tables_version", Help: "Version of the tables on this VM."},
		func() float64 { return float64(s.view.Load().tables.Version) })
	m.registry.MustRegister(m.requestsAnswered, m.requestsRefused, m.httpDuration, m.problems, configAge, tablesVersion, byteCollector{s},
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}
