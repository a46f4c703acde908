package cell

import (
	runtimemetrics "runtime/metrics"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/oleanderchute/oleanderchute/dispatch"
	"github.com/oleanderchute/oleanderchute/replica"
)

// Kinds of events on the event loop, and the parts of the work in them that are measured apart.
// The replies to starts and stops have the kind of their order.
const (
	renewalKind = "renewal"
	adviceKind  = "advice"
	callKind    = "call"
	raftKind    = "raft"

	applyPart    = "apply"    // part of saved and step events
	schedulePart = "schedule" // part of step events
)

// loadLogInterval is the time between two log lines about the load of a leader.
const loadLogInterval = 5 * time.Second

// schedulerLatency is the runtime's histogram of the time that goroutines waited until they ran.
// It tells a process that lacks processor time from one whose event loop is behind.
const schedulerLatency = "/sched/latencies:seconds"

// loopLoad measures the event loop of a VM. It is owned by the event loop goroutine.
type loopLoad struct {
	metrics   *metrics
	log       *zap.Logger
	since     time.Duration // start of the interval, on the event loop's clock
	events    int
	commits   int
	commitSum time.Duration
	waitSum   time.Duration
	waitMax   time.Duration
	busy      map[string]time.Duration
	latencies []runtimemetrics.Sample
	counts    []uint64 // of latencies at the start of the interval
	applied   uint64   // index of the newest entry applied at the start of the interval
}

func newLoopLoad(m *metrics, log *zap.Logger) *loopLoad {
	return &loopLoad{metrics: m, log: log, busy: map[string]time.Duration{}, latencies: []runtimemetrics.Sample{{Name: schedulerLatency}}}
}

// observe implements replica.EventObserver.
func (l *loopLoad) observe(kind string, waited, took time.Duration) {
	if kind != replica.StepKind {
		l.events++
		l.waitSum += waited
		l.waitMax = max(l.waitMax, waited)
		l.metrics.eventWait.Observe(waited.Seconds())
	}
	l.add(kind, took)
}

// observeCommit records the time from the proposal of an entry until it was applied.
func (l *loopLoad) observeCommit(took time.Duration) {
	l.commits++
	l.commitSum += took
	l.metrics.commitSeconds.Observe(took.Seconds())
}

// measurePart adds the time since began to a part of the work.
func (l *loopLoad) measurePart(part string, began time.Time) { l.add(part, time.Since(began)) }

func (l *loopLoad) add(kind string, took time.Duration) {
	l.busy[kind] += took
	l.metrics.eventSeconds.WithLabelValues(kind).Add(took.Seconds())
}

// logIfDue logs the load of a leader once per loadLogInterval and starts the next interval. applied
// is the index of the newest entry that was applied.
func (l *loopLoad) logIfDue(now time.Duration, load dispatch.Load, applied uint64) {
	if now < l.since+loadLogInterval {
		return
	}
	counts, median, high := l.waitsForProcessor()
	l.log.Info("leader load", zap.Int64("over_ms", (now-l.since).Milliseconds()), zap.Int("events", l.events),
		zap.Duration("event_wait_mean", l.waitSum/time.Duration(max(l.events, 1))), zap.Duration("event_wait_max", l.waitMax),
		zap.Duration("goroutine_wait_median", median), zap.Duration("goroutine_wait_p95", high), zap.Object("busy_ms", busyField(l.busy)),
		zap.Uint64("entries", applied-l.applied), zap.Duration("commit_mean", l.commitSum/time.Duration(max(l.commits, 1))), zap.Int("open_jobs", load.OpenJobs), zap.Int("workers", load.Workers),
		zap.Int("queued_advisor_calls", load.QueuedCalls))
	l.counts = counts
	l.restart(now, applied)
}

// restart starts an interval.
func (l *loopLoad) restart(now time.Duration, applied uint64) {
	l.since, l.events, l.waitSum, l.waitMax, l.commits, l.commitSum, l.applied = now, 0, 0, 0, 0, 0, applied
	clear(l.busy)
}

// waitsForProcessor returns the counts of the runtime's histogram, and the median and the 95th
// percentile of the waits since the start of the interval.
func (l *loopLoad) waitsForProcessor() (counts []uint64, median, high time.Duration) {
	runtimemetrics.Read(l.latencies)
	if l.latencies[0].Value.Kind() != runtimemetrics.KindFloat64Histogram {
		return nil, 0, 0 // not supported by this version of the runtime
	}
	h := l.latencies[0].Value.Float64Histogram()
	counts = append([]uint64(nil), h.Counts...)
	since := append([]uint64(nil), h.Counts...)
	total := uint64(0)
	for i := range since {
		if i < len(l.counts) {
			since[i] -= l.counts[i]
		}
		total += since[i]
	}
	return counts, quantile(since, h.Buckets, total/2), quantile(since, h.Buckets, total*95/100)
}

// quantile returns the lower bound of the bucket that holds the observation with a rank.
func quantile(counts []uint64, bounds []float64, rank uint64) time.Duration {
	for i, n := range counts {
		if rank < n {
			return time.Duration(max(bounds[i], 0) * float64(time.Second))
		}
		rank -= n
	}
	return 0
}

// busyField encodes the time spent by kind as a log field, in milliseconds.
type busyField map[string]time.Duration

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (f busyField) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	for kind, d := range f {
		enc.AddInt64(kind, d.Milliseconds())
	}
	return nil
}
