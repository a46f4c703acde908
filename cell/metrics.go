package cell

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/oleanderchute/oleanderchute/dispatch"
)

// latencyBuckets are in seconds. A call within one zone takes a few milliseconds, and a
// call that waits for an election takes seconds.
var latencyBuckets = []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

// metrics holds the Prometheus metrics of one VM.
type metrics struct {
	registry                                                           *prometheus.Registry
	calls                                                              *prometheus.CounterVec
	callSeconds                                                        *prometheus.HistogramVec
	orders                                                             *prometheus.CounterVec
	orderSeconds                                                       *prometheus.HistogramVec
	decisions                                                          *prometheus.CounterVec
	rejectedJobs                                                       *prometheus.CounterVec
	leader                                                             prometheus.Gauge
	openJobs                                                           prometheus.Gauge
	workers                                                            prometheus.Gauge
	queuedCalls                                                        prometheus.Gauge
	busyProxies                                                        prometheus.Gauge
	accountShare, accountEntitlement, accountLimitUsed, accountBlocked *prometheus.GaugeVec
	workerSpeed                                                        *prometheus.GaugeVec
	adviceSeconds                                                      *prometheus.HistogramVec
	diskFull                                                           prometheus.Gauge
	commitSeconds                                                      prometheus.Histogram
	eventWait                                                          prometheus.Histogram
	eventSeconds                                                       *prometheus.CounterVec
	heldCalls                                                          prometheus.Gauge
	heldSeconds                                                        *prometheus.HistogramVec
	callsRejected                                                      *prometheus.CounterVec
	callsUnclear                                                       *prometheus.CounterVec
	// reducedToleranceSeconds is set on the leader only.
	reducedToleranceSeconds prometheus.Gauge
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "oleander_cell_calls_total",
			Help: "Calls passed to the leader by this VM, by kind and outcome."}, []string{"kind", "outcome"}),
		callSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "oleander_cell_call_seconds",
			Help: "Time until a call was answered.", Buckets: latencyBuckets}, []string{"kind"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "oleander_cell_orders_total",
			Help: "Orders to workers, by kind and reply."}, []string{"order", "reply"}),
		orderSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "oleander_cell_order_seconds",
			Help: "Time until a start or stop was answered.", Buckets: latencyBuckets}, []string{"order"}),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "oleander_cell_decisions_total",
			Help: "Decisions of the leader, by what was decided."}, []string{"what"}),
		rejectedJobs: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "oleander_cell_jobs_rejected_total",
			Help: "Jobs that the leader did not accept because their results could not be of use, by route."}, []string{"route"}),
		leader:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "oleander_cell_leader", Help: "1 while this VM leads."}),
		openJobs: prometheus.NewGauge(prometheus.GaugeOpts{Name: "oleander_cell_open_jobs", Help: "Jobs that have not ended, on the leader."}),
		workers:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "oleander_cell_workers", Help: "Worker lives known to the leader."}),
		queuedCalls: prometheus.NewGauge(prometheus.GaugeOpts{Name: "oleander_cell_advisor_calls_queued",
			Help: "Calls to the advisor that wait for a member to send them, on the leader."}),
		busyProxies: prometheus.NewGauge(prometheus.GaugeOpts{Name: "oleander_cell_advisor_calls_in_flight",
			Help: "Calls to the advisor that wait for its answer, on the leader."}),
		accountShare: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "oleander_cell_account_share",
			Help: "Fraction of a pool that the runs of an account take in their dominant dimension, on the leader."}, []string{"account"}),
		accountEntitlement: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "oleander_cell_account_entitlement",
			Help: "Fraction of the pool to which an account is entitled by its weight, on the leader."}, []string{"account"}),
		accountLimitUsed: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "oleander_cell_account_limit_used",
			Help: "Fraction of its limit that the runs of an account take, on the leader; 0 without a limit."}, []string{"account"}),
		accountBlocked: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "oleander_cell_account_blocked_steps",
			Help: "Steps that the limit of their account keeps waiting, on the leader."}, []string{"account"}),
		workerSpeed: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "oleander_cell_worker_speed",
			Help: "Learned speeds of the workers relative to the mean of their pools, on the leader; 0 if none is known."}, []string{"of"}),
		adviceSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "oleander_cell_advice_seconds",
			Help: "Time that a call to the advisor waited for a member, and then for its answer.", Buckets: latencyBuckets}, []string{"phase"}),
		diskFull: prometheus.NewGauge(prometheus.GaugeOpts{Name: "oleander_cell_disk_full",
			Help: "1 while the disk of this VM is full, so that it acknowledges nothing."}),
		commitSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "oleander_cell_commit_seconds",
			Help: "Time from the proposal of an entry until the leader applied it.", Buckets: latencyBuckets}),
		eventWait: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "oleander_cell_event_wait_seconds",
			Help: "Time that an event waited for the event loop.", Buckets: latencyBuckets}),
		eventSeconds: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "oleander_cell_event_seconds_total",
			Help: "Time that the event loop spent, by kind of event. apply and schedule are parts of saved and step."}, []string{"kind"}),
		heldCalls: prometheus.NewGauge(prometheus.GaugeOpts{Name: "oleander_cell_held_calls", Help: "Calls that wait on this VM for a leader."}),
		heldSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "oleander_cell_call_held_seconds",
			Help: "Time that a call waited on this VM for a leader, by kind.", Buckets: latencyBuckets}, []string{"kind"}),
		callsRejected: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "oleander_cell_calls_rejected_total",
			Help: "Calls that this VM answered without a leader, by kind and reason."}, []string{"kind", "reason"}),
		callsUnclear: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "oleander_cell_calls_unclear_total",
			Help: "Calls of which an attempt got no reply and may have been executed, by kind. They are repeated."}, []string{"kind"}),
		reducedToleranceSeconds: prometheus.NewGauge(prometheus.GaugeOpts{Name: "oleander_cell_reduced_tolerance_seconds",
			Help: "How long the group has tolerated fewer losses than it should, on the leader; 0 if it tolerates its number."}),
	}
	m.registry.MustRegister(m.calls, m.callSeconds, m.orders, m.orderSeconds, m.decisions, m.rejectedJobs, m.leader, m.openJobs, m.workers,
		m.queuedCalls, m.busyProxies, m.workerSpeed, m.accountShare, m.accountEntitlement, m.accountLimitUsed, m.accountBlocked, m.adviceSeconds, m.diskFull,
		m.reducedToleranceSeconds, m.commitSeconds, m.eventWait, m.eventSeconds, m.heldCalls, m.heldSeconds, m.callsRejected, m.callsUnclear,
		collectors.NewGoCollector(collectors.WithGoCollectorMemStatsMetricsDisabled(), collectors.WithGoCollectorRuntimeMetrics(collectors.MetricsScheduler)))
	return m
}

func (m *metrics) recordCall(k Kind, r Reply, took time.Duration) {
	m.calls.WithLabelValues(k.String(), r.Code.String()).Inc()
	m.callSeconds.WithLabelValues(k.String()).Observe(took.Seconds())
}

func (m *metrics) recordHeld(k Kind, took time.Duration) {
	m.heldSeconds.WithLabelValues(k.String()).Observe(took.Seconds())
}

func (m *metrics) setLoad(l dispatch.Load) {
	m.openJobs.Set(float64(l.OpenJobs))
	m.workers.Set(float64(l.Workers))
	m.queuedCalls.Set(float64(l.QueuedCalls))
	m.busyProxies.Set(float64(l.BusyProxies))
	for _, gauge := range []*prometheus.GaugeVec{m.accountShare, m.accountEntitlement, m.accountLimitUsed, m.accountBlocked} {
		gauge.Reset() // accounts that the configuration no longer contains
	}
	for _, a := range l.Accounts {
		m.accountShare.WithLabelValues(a.Name).Set(a.Share)
		m.accountEntitlement.WithLabelValues(a.Name).Set(a.Entitlement)
		m.accountLimitUsed.WithLabelValues(a.Name).Set(a.LimitUsed)
		m.accountBlocked.WithLabelValues(a.Name).Set(float64(a.BlockedSteps))
	}
	m.workerSpeed.WithLabelValues("slowest").Set(l.Speeds.Slowest)
	m.workerSpeed.WithLabelValues("median").Set(l.Speeds.Median)
	m.workerSpeed.WithLabelValues("fastest").Set(l.Speeds.Fastest)
}

func (m *metrics) setDiskFull(isFull bool) {
	if isFull {
		m.diskFull.Set(1)
		return
	}
	m.diskFull.Set(0)
}

func (m *metrics) recordOrder(order string, reply dispatch.Reply, took time.Duration) {
	m.orders.WithLabelValues(order, reply.String()).Inc()
	m.orderSeconds.WithLabelValues(order).Observe(took.Seconds())
}

// Metrics returns the Prometheus registry of this VM.
func (n *Node) Metrics() *prometheus.Registry { return n.metrics.registry }
